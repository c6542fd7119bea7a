package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/standin/authority"
)

const testKey = "tls-test-shared-key-012345"

func TestCertificateReload(t *testing.T) {
	Convey("A renewed certificate is used without a restart; one that can't be loaded is ignored", t, func() {
		ca := authority.New(t, t.TempDir())
		settings := ca.Issue(t, 10)
		c, err := newCertificate(settings)
		So(err, ShouldBeNil)
		currentSerial := func() int64 {
			c.checkedAt = time.Time{}
			leaf, err := x509.ParseCertificate(c.get().Certificate[0])
			So(err, ShouldBeNil)
			return leaf.SerialNumber.Int64()
		}
		So(currentSerial(), ShouldEqual, 10)

		ca.Issue(t, 11)
		later := time.Now().Add(time.Minute)
		So(os.Chtimes(settings.CertFile, later, later), ShouldBeNil)
		So(currentSerial(), ShouldEqual, 11)

		So(os.WriteFile(settings.CertFile, []byte("broken"), 0o600), ShouldBeNil)
		So(currentSerial(), ShouldEqual, 11)
	})
	Convey("Missing files are errors at start-up", t, func() {
		_, err := newCertificate(&pb.TlsSettings{CertFile: "missing.pem", KeyFile: "missing.pem"})
		So(err, ShouldNotBeNil)
	})
}

func TestCallerTLS(t *testing.T) {
	Convey("Callers are served over TLS", t, func() {
		ca := authority.New(t, t.TempDir())
		settings := ca.Issue(t, 20)
		settings.ClientCaFile = ""
		config, err := ServerConfig(settings)
		So(err, ShouldBeNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := pipeline.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") }), pipeline.Options{})
		defer server.Close()
		go server.Serve(tls.NewListener(listener, config))

		roots, err := loadCAPool(ca.CAFile())
		So(err, ShouldBeNil)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
		defer client.CloseIdleConnections()
		response, err := client.Get("https://" + listener.Addr().String())
		So(err, ShouldBeNil)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "whole")
	})
}

// echo is a control service with the method Ping.
type echo struct{}

// Ping answers with an empty message.
func (echo) Ping(_ *pb.Empty, _ *pb.Empty) error { return nil }

func TestPeerTLS(t *testing.T) {
	Convey("Given a control server with certificates", t, func() {
		settings := authority.New(t, t.TempDir()).Issue(t, 30)
		clientTLS, serverTLS, err := PeerConfigs(settings)
		So(err, ShouldBeNil)
		server, err := peer.NewServer([]byte(testKey), peer.Options{TLS: serverTLS})
		So(err, ShouldBeNil)
		So(server.RegisterName("Echo", echo{}), ShouldBeNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go server.Serve(listener)
		defer server.Close()
		call := func(config *tls.Config) error {
			client, err := peer.NewClient([]byte(testKey), peer.Options{TLS: config})
			So(err, ShouldBeNil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return client.Call(ctx, listener.Addr().String(), "Echo.Ping", &pb.Empty{}, &pb.Empty{})
		}
		Convey("a peer with a certificate of the same CA is served", func() {
			So(call(clientTLS), ShouldBeNil)
		})
		Convey("an operator with a certificate and the CA file is served", func() {
			config, err := ClientConfig(settings)
			So(err, ShouldBeNil)
			So(call(config), ShouldBeNil)
		})
		Convey("an operator with only the CA file is refused", func() {
			config, err := ClientConfig(&pb.TlsSettings{ClientCaFile: settings.GetClientCaFile()})
			So(err, ShouldBeNil)
			So(call(config), ShouldNotBeNil)
		})
		Convey("a peer without a certificate or without TLS is refused", func() {
			So(call(&tls.Config{RootCAs: clientTLS.RootCAs}), ShouldNotBeNil)
			So(call(nil), ShouldNotBeNil)
		})
	})
}
