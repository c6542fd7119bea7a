package apikey

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/pb"
)

func stateAt(operator, offset int64, organisations ...*pb.Organisation) *pb.ConfigState {
	return &pb.ConfigState{Version: offset, Config: &pb.Config{OperatorVersion: operator, Organisations: organisations}}
}

// Guards against a gate that starts a request whose key is withdrawn, and against one that
// refuses a new key because it has an older configuration than the entry.
func TestCheck(t *testing.T) {
	Convey("Given a request accepted for a by key k under version 5", t, func() {
		use := Use{Key: IDOf("k"), Version: Version{Operator: 0, Offset: 5}}
		a := &pb.Organisation{Name: "a", ApiKeys: []string{"k", "l"}}
		withoutKey := &pb.Organisation{Name: "a", ApiKeys: []string{"l"}}
		b := &pb.Organisation{Name: "b", ApiKeys: []string{"k"}}
		Convey("it is valid under the same and a later version that has the key", func() {
			So(NewTable(stateAt(0, 5, a)).Check(use, "a"), ShouldEqual, Valid)
			So(NewTable(stateAt(0, 6, a)).Check(use, "a"), ShouldEqual, Valid)
		})
		Convey("a later version withdraws the key, the organisation or both", func() {
			So(NewTable(stateAt(0, 6, withoutKey)).Check(use, "a"), ShouldEqual, Withdrawn)
			So(NewTable(stateAt(0, 6, &pb.Organisation{Name: "a"})).Check(use, "a"), ShouldEqual, Withdrawn)
			So(NewTable(stateAt(0, 6, &pb.Organisation{Name: "c", ApiKeys: []string{"m"}})).Check(use, "a"), ShouldEqual, Withdrawn)
		})
		Convey("a later version moves the key or has no organisations", func() {
			So(NewTable(stateAt(0, 6, withoutKey, b)).Check(use, "a"), ShouldEqual, Moved)
			So(NewTable(stateAt(0, 6)).Check(use, "a"), ShouldEqual, Moved)
		})
		Convey("an older version can't judge", func() {
			So(NewTable(stateAt(0, 4, withoutKey)).Check(use, "a"), ShouldEqual, Valid)
		})
		Convey("the operator's version goes before the offset", func() {
			use.Version = Version{Operator: 7, Offset: 100}
			So(NewTable(stateAt(6, 200, withoutKey)).Check(use, "a"), ShouldEqual, Valid)
			So(NewTable(stateAt(8, 50, withoutKey)).Check(use, "a"), ShouldEqual, Withdrawn)
		})
		Convey("a request without a key and a gate without a configuration decide nothing", func() {
			So(NewTable(stateAt(0, 6)).Check(Use{}, ""), ShouldEqual, Valid)
			So((*Table)(nil).Check(use, "a"), ShouldEqual, Valid)
		})
	})
}

// Guards against metadata between nodes that a gate can't read or reads as another key.
func TestUseEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		use := Use{
			Key:     IDOf(rapid.String().Draw(t, "key")),
			Version: Version{Operator: rapid.Int64().Draw(t, "operator"), Offset: rapid.Int64().Draw(t, "offset")},
		}
		decoded, ok := ParseUse(string(use.AppendTo(nil)))
		if !ok || decoded != use {
			t.Fatalf("got %v, %t, expected %v", decoded, ok, use)
		}
	})
	for _, text := range []string{"", "-", "00:1:2", ":::", "zz", "00112233445566778899aabbccddeeff:1", "00112233445566778899aabbccddeefg:1:2"} {
		if _, ok := ParseUse(text); ok {
			t.Errorf("%q was accepted", text)
		}
	}
}

// Guards against keys in output, and against a redaction that changes the configuration in
// force.
func TestRedact(t *testing.T) {
	Convey("A redacted copy has digests and the original keeps its keys", t, func() {
		config := stateAt(0, 1, &pb.Organisation{Name: "a", ApiKeys: []string{"abc"}}).GetConfig()
		So(Redact(config).GetOrganisations()[0].GetApiKeys(), ShouldResemble, []string{"sha256:ba7816bf"})
		So(config.GetOrganisations()[0].GetApiKeys(), ShouldResemble, []string{"abc"})
		So(IsShown(Shown("abc")), ShouldBeTrue)
		So(IsShown("abc"), ShouldBeFalse)
		So(Redact(nil).GetOrganisations(), ShouldBeEmpty)
	})
}

// manyOrganisations returns n organisations with one key of 32 bytes each.
func manyOrganisations(n int) *pb.ConfigState {
	state := stateAt(1, 1)
	for i := range n {
		state.Config.Organisations = append(state.Config.Organisations, &pb.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), ApiKeys: []string{fmt.Sprintf("key-%028d", i)},
		})
	}
	return state
}

func BenchmarkNewTable(b *testing.B) {
	state := manyOrganisations(10_000)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(state)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(manyOrganisations(n))
			key := fmt.Sprintf("key-%028d", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if _, known := table.Owner(IDOf(key)); !known {
					b.Fatal("unknown key")
				}
			}
		})
	}
}
