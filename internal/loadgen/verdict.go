package loadgen

import (
	"fmt"
	"strings"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// maxExamples limits the examples of each fault.
const maxExamples = 10

// Journals are the journals of all backend servers of a run.
type Journals struct {
	All []*pb.Journal
	// Complete is false when an execution may be missing.
	Complete bool
	// Problems describe why journals are missing or incomplete.
	Problems []string
}

// executions counts the executions in all journals.
func (j *Journals) executions() int {
	count := 0
	for _, journal := range j.All {
		count += len(journal.GetExecutions())
	}
	return count
}

// Failed reports whether the run violated a guarantee: a wrong answer, an
// answered operation that never ran, a non-idempotent one that ran more than
// once, an execution after a certified refusal, or one that nobody asked for.
func Failed(v *pb.LoadVerdict) bool {
	return v.GetWrong()+v.GetLost()+v.GetDoubled()+v.GetRanThoughRefused()+v.GetForeign() > 0
}

// verdictBuilder compares the outcomes reported to callers with the executions.
type verdictBuilder struct {
	verdict *pb.LoadVerdict
	// byOp counts the executions of each operation; byRequest has the operation
	// and request ID of each execution.
	byOp      map[string]uint32
	byRequest map[string]bool
}

// buildVerdict returns the verdict on the entries of a run whose operation IDs
// all begin with prefix.
func buildVerdict(entries []*entry, journals *Journals, prefix string) *pb.LoadVerdict {
	b := &verdictBuilder{
		verdict:   &pb.LoadVerdict{Operations: uint32(len(entries)), JournalsComplete: journals.Complete},
		byOp:      map[string]uint32{},
		byRequest: map[string]bool{},
	}
	for _, journal := range journals.All {
		b.countExecutions(journal, prefix)
	}
	for _, e := range entries {
		b.checkEntry(e)
	}
	for op, executions := range b.byOp {
		b.verdict.Foreign += executions
		b.addExample("foreign", op)
	}
	return b.verdict
}

func (b *verdictBuilder) countExecutions(journal *pb.Journal, prefix string) {
	for _, execution := range journal.GetExecutions() {
		if !strings.HasPrefix(execution.GetOperation(), prefix) {
			continue
		}
		b.verdict.Executions++
		b.byOp[execution.GetOperation()]++
		b.byRequest[requestKey(execution.GetOperation(), execution.GetRequestId())] = true
	}
}

func requestKey(op, requestID string) string {
	return op + " " + requestID
}

// checkEntry checks one operation and removes its executions from byOp; those that
// remain in the end are foreign.
func (b *verdictBuilder) checkEntry(e *entry) {
	executions := b.byOp[e.id]
	delete(b.byOp, e.id)
	b.checkRepeats(e, executions)
	b.checkRefusals(e, executions)
	if e.wrong {
		b.verdict.Wrong++
		b.addExample("wrong", e.id)
	}
	if e.answered {
		b.checkAnswered(e, executions)
	} else if e.mayHaveRun {
		b.countUnknown(executions)
	}
	for level := e.depth - 1; level >= 0; level-- {
		b.checkLookup(e, level)
	}
}

func (b *verdictBuilder) checkRepeats(e *entry, executions uint32) {
	if executions < 2 {
		return
	}
	if e.idempotent {
		b.verdict.Repeated++
		return
	}
	b.verdict.Doubled++
	b.addExample("doubled", e.id)
}

// checkRefusals finds attempts, or operations, that ran although the answer
// certified that they did not.
func (b *verdictBuilder) checkRefusals(e *entry, executions uint32) {
	ran := executions > 0 && !e.answered && !e.mayHaveRun
	for _, requestID := range e.refused {
		ran = ran || b.byRequest[requestKey(e.id, requestID)]
	}
	if ran {
		b.verdict.RanThoughRefused++
		b.addExample("ran though refused", e.id)
	}
}

func (b *verdictBuilder) checkAnswered(e *entry, executions uint32) {
	if executions > 0 {
		return
	}
	if !b.verdict.GetJournalsComplete() {
		b.verdict.Unproved++
		return
	}
	b.verdict.Lost++
	b.addExample("lost", e.id)
}

func (b *verdictBuilder) countUnknown(executions uint32) {
	if executions > 0 {
		b.verdict.UnknownRan++
		return
	}
	b.verdict.UnknownNotRun++
}

// checkLookup checks one lookup of an operation's chain.
func (b *verdictBuilder) checkLookup(e *entry, level int) {
	op := wire.LookupOp(e.id, level)
	executions := b.byOp[op]
	delete(b.byOp, op)
	if executions > 1 {
		b.verdict.Repeated++
	}
	if e.answered {
		b.checkAnswered(&entry{id: op}, executions)
	}
}

// addExample adds an operation to the examples of a fault, up to maxExamples.
func (b *verdictBuilder) addExample(fault, op string) {
	prefix := fault + ": "
	count := 0
	for _, example := range b.verdict.GetExamples() {
		if strings.HasPrefix(example, prefix) {
			count++
		}
	}
	if count < maxExamples {
		b.verdict.Examples = append(b.verdict.Examples, fmt.Sprintf("%s%s", prefix, op))
	}
}
