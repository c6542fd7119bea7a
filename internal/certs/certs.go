// Package certs creates TLS configurations from the settings and reloads renewed
// certificates at run time.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// checkInterval is the minimum time between two checks for a renewed certificate.
const checkInterval = 10 * time.Second

// certificate is a certificate with its key that is reloaded when the certificate file
// changes.
type certificate struct {
	settings *pb.TlsSettings

	mu        sync.Mutex
	pair      *tls.Certificate
	modTime   time.Time // of the certificate file when it was loaded
	checkedAt time.Time
}

// newCertificate loads the certificate and key that the settings name.
func newCertificate(settings *pb.TlsSettings) (*certificate, error) {
	c := &certificate{settings: settings}
	return c, c.load()
}

// load loads the certificate and key unless the modification time of the certificate file
// is unchanged.
func (c *certificate) load() error {
	info, err := os.Stat(c.settings.GetCertFile())
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	if c.pair != nil && info.ModTime().Equal(c.modTime) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.settings.GetCertFile(), c.settings.GetKeyFile())
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	c.pair, c.modTime = &pair, info.ModTime()
	return nil
}

// get returns the certificate. It checks for a renewal at most once per checkInterval. If
// the renewed certificate can't be loaded, the old one stays in use.
func (c *certificate) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= checkInterval {
		c.checkedAt = now
		_ = c.load()
	}
	return c.pair
}

// ServerConfig returns the TLS configuration of a server. Client certificates are
// required and verified if the settings name a file of CA certificates.
func ServerConfig(settings *pb.TlsSettings) (*tls.Config, error) {
	cert, err := newCertificate(settings)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get(), nil },
	}
	if settings.GetClientCaFile() == "" {
		return config, nil
	}
	if config.ClientCAs, err = loadCAPool(settings.GetClientCaFile()); err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// loadCAPool reads a PEM file of CA certificates.
func loadCAPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("CA certificates: no certificate in %s", path)
	}
	return pool, nil
}

// ClientConfig returns the TLS configuration of a client of control addresses, or nil
// if the settings name neither a certificate nor a file of CA certificates. Without CA
// certificates of its own, the client trusts those of the operating system.
func ClientConfig(settings *pb.TlsSettings) (*tls.Config, error) {
	if settings.GetCertFile() == "" && settings.GetClientCaFile() == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if settings.GetCertFile() != "" {
		cert, err := newCertificate(settings)
		if err != nil {
			return nil, err
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return cert.get(), nil
		}
	}
	if settings.GetClientCaFile() == "" {
		return config, nil
	}
	roots, err := loadCAPool(settings.GetClientCaFile())
	if err != nil {
		return nil, err
	}
	config.RootCAs = roots
	return config, nil
}

// PeerConfigs returns the TLS configurations of a node's control client and server, or
// nil if the settings name no certificate. Peers authenticate each other by
// certificates of the same CAs.
func PeerConfigs(settings *pb.TlsSettings) (client, server *tls.Config, err error) {
	if settings.GetCertFile() == "" {
		return nil, nil, nil
	}
	if server, err = ServerConfig(settings); err != nil {
		return nil, nil, err
	}
	client, err = ClientConfig(settings)
	return client, server, err
}
