package loadgen

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// journalOf returns a journal of executions, given as pairs of operation and
// request ID.
func journalOf(pairs ...string) *Journals {
	journal := &pb.Journal{Server: "s1"}
	for i := 0; i < len(pairs); i += 2 {
		journal.Executions = append(journal.Executions, &pb.Execution{Operation: pairs[i], RequestId: pairs[i+1]})
	}
	return &Journals{All: []*pb.Journal{journal}, Complete: true}
}

func TestVerdict(t *testing.T) {
	refused := &entry{id: "p-1", refused: []string{"r1"}}
	refusedThenAnswered := &entry{id: "p-1", refused: []string{"r1"}, answered: true}
	cases := []struct {
		name     string
		entry    *entry
		journals *Journals
		want     *pb.LoadVerdict
		failed   bool
	}{
		{"answered and ran once", &entry{id: "p-1", answered: true}, journalOf("p-1", "r1"), &pb.LoadVerdict{}, false},
		{"answered and never ran", &entry{id: "p-1", answered: true}, journalOf(), &pb.LoadVerdict{Lost: 1}, true},
		{"refused and did not run", refused, journalOf(), &pb.LoadVerdict{}, false},
		{"refused and ran", refused, journalOf("p-1", "other"), &pb.LoadVerdict{RanThoughRefused: 1}, true},
		{"refused first, then run by the resend", refusedThenAnswered, journalOf("p-1", "r2"), &pb.LoadVerdict{}, false},
		{"refused first, but that attempt ran", refusedThenAnswered, journalOf("p-1", "r1"), &pb.LoadVerdict{RanThoughRefused: 1}, true},
		{"ran twice", &entry{id: "p-1", answered: true}, journalOf("p-1", "r1", "p-1", "r2"), &pb.LoadVerdict{Doubled: 1}, true},
		{"unknown and ran twice", &entry{id: "p-1", mayHaveRun: true}, journalOf("p-1", "r1", "p-1", "r1"), &pb.LoadVerdict{Doubled: 1, UnknownRan: 1}, true},
		{"idempotent and ran twice", &entry{id: "p-1", answered: true, idempotent: true}, journalOf("p-1", "r1", "p-1", "r2"), &pb.LoadVerdict{Repeated: 1}, false},
		{"unknown and ran", &entry{id: "p-1", mayHaveRun: true}, journalOf("p-1", "r1"), &pb.LoadVerdict{UnknownRan: 1}, false},
		{"unknown and did not run", &entry{id: "p-1", mayHaveRun: true}, journalOf(), &pb.LoadVerdict{UnknownNotRun: 1}, false},
		{"wrong answer", &entry{id: "p-1", mayHaveRun: true, wrong: true}, journalOf("p-1", "r1"), &pb.LoadVerdict{Wrong: 1, UnknownRan: 1}, true},
		{"execution that nobody asked for", &entry{id: "p-1", answered: true}, journalOf("p-1", "r1", "p-2", "r2"), &pb.LoadVerdict{Foreign: 1}, true},
		{"another run's execution", &entry{id: "p-1", answered: true}, journalOf("p-1", "r1", "q-1", "r2"), &pb.LoadVerdict{}, false},
		{"complete chain", &entry{id: "p-1", answered: true, depth: 2}, journalOf("p-1", "r1", "p-1/1", "r1", "p-1/0", "r1"), &pb.LoadVerdict{}, false},
		{"chain with a lookup that never ran", &entry{id: "p-1", answered: true, depth: 2}, journalOf("p-1", "r1", "p-1/1", "r1"), &pb.LoadVerdict{Lost: 1}, true},
		{"lookup that ran twice", &entry{id: "p-1", mayHaveRun: true, depth: 1}, journalOf("p-1", "r1", "p-1/0", "r1", "p-1/0", "r1"), &pb.LoadVerdict{Repeated: 1, UnknownRan: 1}, false},
	}
	Convey("The verdict compares what callers were told with what ran", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				verdict := buildVerdict([]*entry{c.entry}, c.journals, "p-")
				So(Failed(verdict), ShouldEqual, c.failed)
				verdict.Operations, verdict.Executions, verdict.JournalsComplete, verdict.Examples = 0, 0, false, nil
				So(proto.Equal(verdict, c.want), ShouldBeTrue)
			})
		}
		Convey("an answer without an execution is only unproved if a journal is missing", func() {
			journals := journalOf()
			journals.Complete = false
			verdict := buildVerdict([]*entry{{id: "p-1", answered: true}}, journals, "p-")
			So(verdict.GetUnproved(), ShouldEqual, 1)
			So(Failed(verdict), ShouldBeFalse)
		})
		Convey("the number of examples is limited", func() {
			entries := make([]*entry, 50)
			for i := range entries {
				entries[i] = &entry{id: "p-1", answered: true}
			}
			So(buildVerdict(entries, journalOf(), "p-").GetExamples(), ShouldHaveLength, maxExamples)
		})
	})
}
