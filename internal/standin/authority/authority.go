// Package authority implements a certificate authority for tests. Its certificates
// are issued for 127.0.0.1 and valid for one hour.
package authority

import (
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

	"github.com/egretfield/egretfield/internal/pb"
)

const validity = time.Hour

// Authority issues certificates and stores them and their keys in one directory.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// New creates an authority and writes its certificate to dir.
func New(t testing.TB, dir string) *Authority {
	t.Helper()
	a := &Authority{dir: dir, key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(validity), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	check(t, err)
	a.cert, err = x509.ParseCertificate(der)
	check(t, err)
	writePEM(t, a.CAFile(), "CERTIFICATE", der)
	return a
}

// CAFile returns the path of the authority's own certificate.
func (a *Authority) CAFile() string {
	return filepath.Join(a.dir, "ca.pem")
}

// Issue writes a certificate with the given serial number and its key, in place of
// the previous ones, and returns the settings that refer to them.
func (a *Authority) Issue(t testing.TB, serial int64) *pb.TlsSettings {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(validity),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	check(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	check(t, err)
	settings := &pb.TlsSettings{
		CertFile: filepath.Join(a.dir, "cert.pem"), KeyFile: filepath.Join(a.dir, "key.pem"),
		ClientCaFile: a.CAFile(),
	}
	writePEM(t, settings.CertFile, "CERTIFICATE", der)
	writePEM(t, settings.KeyFile, "EC PRIVATE KEY", keyDER)
	return settings
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
