package e2e

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/authority"
)

// newSecureFleet starts a fleet with TLS on the caller and control ports. It
// returns an HTTP client that trusts the fleet's certificates.
func newSecureFleet(t *testing.T, count int) (*fleet, *http.Client) {
	a := authority.New(t, t.TempDir())
	certs := a.Issue(t, 1)
	f := &fleet{t: t, dir: t.TempDir()}
	f.settings = fmt.Sprintf(`caller_tls: {cert_file: %[1]s, key_file: %[2]s}
peer_tls: {cert_file: %[1]s, key_file: %[2]s, client_ca_file: %[3]s}
`, certs.CertFile, certs.KeyFile, certs.ClientCaFile)
	f.environment = []string{"EGRETFIELD_CA=" + certs.ClientCaFile, "EGRETFIELD_CERT=" + certs.CertFile,
		"EGRETFIELD_CERT_KEY=" + certs.KeyFile}
	f.start(count)
	roots := x509.NewCertPool()
	text, err := os.ReadFile(a.CAFile())
	if err != nil || !roots.AppendCertsFromPEM(text) {
		t.Fatal("read the CA certificate:", err)
	}
	return f, &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
}

func TestTLS(t *testing.T) {
	Convey("Given a fleet with certificates on its caller and control ports", t, func() {
		f, client := newSecureFleet(t, 2)
		defer client.CloseIdleConnections()
		Convey("callers are served over TLS, and egretctl only works with a certificate", func() {
			for _, inst := range f.instances {
				request, err := http.NewRequest(http.MethodGet, "https://"+inst.addresses.Caller+"/upload", nil)
				So(err, ShouldBeNil)
				request.Host = "orders"
				answer, err := client.Do(request)
				So(err, ShouldBeNil)
				_, err = io.Copy(io.Discard, answer.Body)
				So(err, ShouldBeNil)
				answer.Body.Close()
				So(answer.StatusCode, ShouldEqual, http.StatusOK)
			}
			out, exit := f.ctl("status")
			So(exit, ShouldEqual, 0)
			So(strings.Count(out, "orders-"), ShouldBeGreaterThanOrEqualTo, 2)

			f.environment = nil
			out, exit = f.ctl("status", "-timeout", "3s")
			So(exit, ShouldNotEqual, 0)
			So(out, ShouldNotContainSubstring, "orders-")
		})
	})
}
