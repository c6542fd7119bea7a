package ctl

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// TestOutputOfCallersTexts guards against texts of callers, such as the path of a request,
// that add lines or table columns to the output, or control the operator's terminal.
func TestOutputOfCallersTexts(t *testing.T) {
	Convey("Given a text with line breaks, tabs, escape sequences and invalid UTF-8", t, func() {
		const text = "/a\nentry\tof \x1b[2J\u009b\u202e\U000e0001\xffé\"\\"
		const escaped = `/a\nentry\tof \x1b[2J\u009b\u202e\U000e0001\xffé"\`
		out := &bytes.Buffer{}
		s := &session{env: Env{Stdout: out}}
		Convey("a line has it escaped", func() {
			s.printf("path %s", text)
			So(out.String(), ShouldEqual, "path "+escaped+"\n")
		})
		Convey("a table has it escaped", func() {
			s.printTable("A | B", [][]string{{text, "b"}})
			So(out.String(), ShouldEndWith, "\n"+escaped+"  b\n")
		})
		Convey("a finding about the path of a quarantine has it escaped", func() {
			finding := explainQuarantine(&pb.QuarantineFacts{Fingerprint: "f00d", Method: "GET", Path: text, Service: "orders"})
			So(s.printFindings(&pb.Findings{Findings: []*pb.Finding{finding}}), ShouldBeNil)
			So(out.String(), ShouldStartWith, "fingerprint f00d: GET "+escaped+" of orders")
		})
		Convey("JSON has it escaped, with the same value", func() {
			data, err := encodeJSON(&pb.WhereRecord{Path: "/\u009b\u202e\U000e0001é"})
			So(err, ShouldBeNil)
			So(string(data), ShouldContainSubstring, `"path": "/\u009b\u202e\udb40\udc01é"`)
		})
	})
}
