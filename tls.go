package magnoliaworks

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/pkg/errors"

	"magnoliaworks/core/setup"
)

// serverTLS returns the configuration of a listener that requires client certificates, or nil for plain TCP.
func serverTLS(t setup.TLS) (*tls.Config, error) {
	c, pool, err := loadTLS(t)
	if c == nil || err != nil {
		return nil, err
	}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.ClientCAs = pool
	return c, nil
}

// dialTLS returns the configuration for dialling a listener with serverTLS, or nil for plain TCP.
func dialTLS(t setup.TLS) (*tls.Config, error) {
	c, pool, err := loadTLS(t)
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs = pool
	return c, nil
}

func loadTLS(t setup.TLS) (*tls.Config, *x509.CertPool, error) {
	if !t.On() {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "load certificate %s", t.Certificate)
	}
	authority, err := os.ReadFile(t.ClientCA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, errors.Errorf("file %s holds no certificate", t.ClientCA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	}, pool, nil
}

func wrapTLS(l net.Listener, c *tls.Config) net.Listener {
	if c == nil {
		return l
	}
	return tls.NewListener(l, c)
}

// ClientTLS returns the configuration for operators' connections to a host, or nil for plain TCP. It returns an error
// when a file of t cannot be loaded.
func ClientTLS(t setup.TLS) (*tls.Config, error) { return dialTLS(t) }
