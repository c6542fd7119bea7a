package ctl

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// Guards against a version named for a key although the audit trail doesn't list all
// changes of the organisation's keys.
func TestKeyHistory(t *testing.T) {
	const path, one, two = "config.organisations[a].api_keys", "sha256:00000001", "sha256:00000002"
	entry := func(offset int64, omitted uint32, path, before, after string) *pb.AuditEntry {
		changes := []*pb.Change{{Path: path, Before: before, After: after}}
		return &pb.AuditEntry{Offset: offset, Accepted: true, ChangesOmitted: omitted, Changes: changes}
	}
	Convey("A key's history is as exact as the audit trail", t, func() {
		for _, test := range []struct {
			audit []*pb.AuditEntry
			want  string
		}{
			{[]*pb.AuditEntry{entry(5, 0, "preset", "x", "y")}, "before version 5, where the audit trail begins"},
			{[]*pb.AuditEntry{entry(5, 0, path, two, one+", "+two)}, "by version 5, at - by (none)"},
			{[]*pb.AuditEntry{entry(5, 3, path, "", one), entry(6, 3, "preset", "x", "y"), entry(7, 3, path+"z", "", "")}, "by version 5, at - by (none)"},
			{[]*pb.AuditEntry{entry(5, 0, path, "", one), entry(6, 0, path, one, one+", sha256:23...")}, "by version 6 or an earlier one"},
			{[]*pb.AuditEntry{entry(5, 0, path, "", one), entry(6, 3, "config.a", "", "")}, "by version 6 or an earlier one"},
		} {
			h := keyHistoryOf(test.audit, "a")
			So(h.text(h.added, one), ShouldEqual, test.want)
		}
	})
}
