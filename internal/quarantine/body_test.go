package quarantine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against a digest that depends on the parts in which a body passes, or on what lies
// behind its beginning.
func TestBodyDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "body")
		if rapid.Bool().Draw(t, "long") {
			body = append(make([]byte, PrefixBytes-20), body...)
		}
		base := rapid.Uint64().Draw(t, "base")
		d := NewBodyDigest(base)
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			d.Add(rest[:n])
			rest = rest[n:]
		}
		if known := d.Fingerprint() != 0; known != (len(body) >= PrefixBytes) {
			t.Fatalf("fingerprint of %d bytes known: %v", len(body), known)
		}
		d.End()
		want := BodyFingerprint(base, body[:min(len(body), PrefixBytes)])
		if got := d.Fingerprint(); got != want || got == 0 {
			t.Fatalf("fingerprint %x, expected %x", got, want)
		}
		if len(body) > 0 && len(body) <= PrefixBytes && BodyFingerprint(base, body[:len(body)-1]) == want {
			t.Fatal("a shorter body has the same fingerprint")
		}
	})
}

func TestInspectedRequests(t *testing.T) {
	Convey("A crash under a streamed request makes all nodes look at such bodies, up to a limit", t, func() {
		broadcaster := &duplicatingBroadcaster{}
		a, b := New(broadcaster, nil), New(broadcaster, nil)
		So(b.InspectsBody(7), ShouldBeFalse)
		a.ReportCrash([]uint64{1, 0}, 7, 7, 0)
		So(b.InspectsBody(7), ShouldBeTrue)
		So(b.InspectsBody(0), ShouldBeFalse)
		So((*Table)(nil).InspectsBody(7), ShouldBeFalse)
		So(a.Quarantined(), ShouldBeEmpty)
		for i := range uint64(maxInspected) {
			a.ReportCrash(nil, 100+10*i, 101+10*i, 102+10*i)
		}
		So(len(b.inspectedUntil), ShouldEqual, maxInspected)
	})
}
