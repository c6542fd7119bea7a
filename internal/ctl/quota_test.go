package ctl

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// TestStatusOfCaps guards against a status that leaves the use of caps out, or shows an
// empty table where there are none.
func TestStatusOfCaps(t *testing.T) {
	Convey("The use of caps follows the node's state", t, func() {
		text := &bytes.Buffer{}
		s := &session{env: Env{Stdout: text}}
		node := &pb.NodeStatus{Config: &pb.ConfigStatus{LogHealthy: true}}
		s.printNode(node)
		So(text.String(), ShouldBeEmpty)
		node.Quotas = []*pb.QuotaUse{{Organisation: "acme", RatePerS: 46, Burst: 46, Granted: 17, Refused: 3, DemandPerS: 1.25, Owner: true}}
		s.printNode(node)
		So(text.String(), ShouldEqual, "ORGANISATION  CAP OF THE FLEET  BURST  DEMAND HERE  GRANTED HERE  REFUSED HERE  OWNS A PART\n"+
			"acme          46/s              46     1.2/s        17            3             yes\n")
	})
}
