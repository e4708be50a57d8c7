package magnoliaworks_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"magnoliaworks"
	"magnoliaworks/core/deploy"
	"magnoliaworks/core/setup"
	"magnoliaworks/io/admin"
	"magnoliaworks/stand"
)

// TestTLS joins two hosts over listeners that require client certificates, and checks that operators without TLS or
// without a certificate are rejected.
func TestTLS(t *testing.T) {
	files := selfSigned(t)
	p, err := deploy.Embedded("valparaiso")
	if err != nil {
		t.Fatal(err)
	}
	network := stand.NewTCP(deploy.Delays{})
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Stop()
	first := hostSettings(t, network, platform, "host-1", files)
	second := hostSettings(t, network, platform, "host-2", files)
	second.Peers = []string{first.PeerAddress}
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	var hosts []*magnoliaworks.Host
	for _, s := range []setup.Settings{first, second} {
		h, err := magnoliaworks.New(magnoliaworks.WithSettings(s), magnoliaworks.WithNetwork(network.Endpoint(s.DataCentre, s.ID)))
		if err != nil {
			t.Fatal(err)
		}
		hosts = append(hosts, h)
		group.Go(func() error { return h.Run(ctx) })
	}
	waitUntil(t, func() bool { return len(hosts[0].View().Available()) == 2 && len(hosts[1].View().Available()) == 2 })
	clientTLS, err := magnoliaworks.ClientTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	_, trustedErr := admin.NewClient(first.OperatorAddress, clientTLS).Run("test", "show hosts")
	_, plaintextErr := admin.NewClient(first.OperatorAddress, nil).Run("test", "show hosts")
	clientTLS.Certificates = nil
	_, noCertificateErr := admin.NewClient(first.OperatorAddress, clientTLS).Run("test", "show hosts")
	stop()
	runErr := group.Wait()
	Convey("Only a client with a certificate reaches the operators' listener, and hosts reach each other", t, func() {
		So(trustedErr, ShouldBeNil)
		So(plaintextErr, ShouldNotBeNil)
		So(noCertificateErr, ShouldNotBeNil)
		So(runErr, ShouldBeNil)
	})
}

func hostSettings(t *testing.T, network *stand.Network, platform *stand.Platform, id string, files setup.TLS) setup.Settings {
	t.Helper()
	s := setup.Default()
	s.ID = id
	s.DataCentre = platform.Deployment.DataCentres[0]
	s.StoreAddress = platform.StoreAddress
	s.HostsAddress = platform.StoreAddress
	s.OperatorTLS = files
	s.PeerTLS = files
	s.LeaveWait = 0
	for _, address := range []*string{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress} {
		free, err := network.Address(s.DataCentre, id)
		if err != nil {
			t.Fatal(err)
		}
		*address = free
	}
	return s
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("hosts do not know each other after 30 s")
}

// selfSigned writes a self-signed certificate that is its own authority.
func selfSigned(t *testing.T) setup.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	return setup.TLS{
		Certificate: writePEM(t, directory, "host.pem", "CERTIFICATE", der),
		Key:         writePEM(t, directory, "host.key", "EC PRIVATE KEY", private),
		ClientCA:    writePEM(t, directory, "ca.pem", "CERTIFICATE", der),
	}
}

func writePEM(t *testing.T, directory, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(directory, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
