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
	"magnoliaworks/core/plan"
	"magnoliaworks/core/setup"
	"magnoliaworks/io/admin"
	"magnoliaworks/stand"
)

// TestTLS joins two hosts over listeners that require client certificates.
func TestTLS(t *testing.T) {
	files := certificates(t)
	p, err := plan.Embedded("valparaiso")
	if err != nil {
		t.Fatal(err)
	}
	network := stand.NewTCP(plan.Delays{})
	platform, err := stand.NewPlatform(p, network, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Stop()
	first := settings(t, network, platform, "host-1", files)
	second := settings(t, network, platform, "host-2", files)
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
	waitFor(t, func() bool { return len(hosts[0].View().Available()) == 2 && len(hosts[1].View().Available()) == 2 })
	with, err := magnoliaworks.ClientTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	_, good := admin.NewClient(first.OperatorAddress, with).Run("test", "show hosts")
	_, plain := admin.NewClient(first.OperatorAddress, nil).Run("test", "show hosts")
	with.Certificates = nil
	_, without := admin.NewClient(first.OperatorAddress, with).Run("test", "show hosts")
	stop()
	left := group.Wait()
	Convey("Only a client with a certificate reaches the operators' listener, and hosts reach each other", t, func() {
		So(good, ShouldBeNil)
		So(plain, ShouldNotBeNil)
		So(without, ShouldNotBeNil)
		So(left, ShouldBeNil)
	})
}

func settings(t *testing.T, network *stand.Network, platform *stand.Platform, id string, files setup.TLS) setup.Settings {
	t.Helper()
	s := setup.Default()
	s.ID = id
	s.DataCentre = platform.Plan.DataCentres[0]
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

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("hosts do not know each other after 30 s")
}

// certificates writes a self-signed certificate that is its own authority.
func certificates(t *testing.T) setup.TLS {
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
		Certificate: write(t, directory, "host.pem", "CERTIFICATE", der),
		Key:         write(t, directory, "host.key", "EC PRIVATE KEY", private),
		ClientCA:    write(t, directory, "ca.pem", "CERTIFICATE", der),
	}
}

func write(t *testing.T, directory, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(directory, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
