package configlog

import (
	"fmt"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// foldReplace folds a record that replaces the whole configuration. The chain
// restarts with it, so that a node that starts at this record agrees with one that
// folded every record before. A record that changes nothing leaves the chain as it
// is.
func foldReplace(state State, message *pb.ConfigRecord, record platformlog.Record) (State, *pb.AuditEntry) {
	next := State{Config: state.Config, FoldedThrough: record.Offset, Chain: state.Chain}
	replacement := message.GetReplace().GetConfig()
	if replacement == nil {
		return next, nil
	}
	entry := newEntry(message, record)
	replacement, adjusted, reason := admitReplacement(state, replacement, record.Offset)
	if reason != nil {
		refuse(entry, reason.kind, reason.message)
		next.Config = withAudit(state.Config, entry)
		return next, entry
	}
	entry.Adjusted = adjustedTexts(adjusted)
	changed := accept(state, entry)
	changed.Config = replacement
	changed.Preset = replacement.GetDefaultPreset()
	next.Config = withAudit(putInForce(state, changed, entry), entry)
	next.Chain = extendChain(0, record.Offset, record.Data, true)
	return next, entry
}

// refusal is the reason why a record is refused.
type refusal struct {
	kind    pb.ErrorKind
	message string
}

// admitReplacement returns the configuration that replaces that of state by replacement,
// at offset, and the limits of it that were brought down to a bound. It returns the reason
// if there is no such configuration.
func admitReplacement(state State, replacement *pb.Config, offset int64) (*pb.Config, []config.Problem, *refusal) {
	version := replacement.GetOperatorVersion()
	// Operators write again what a log lost that came back from an older copy.
	isRewrite := version == state.OperatorVersion() && platformlog.EraOf(offset) > platformlog.EraOf(state.Version())
	if version <= state.OperatorVersion() && !isRewrite {
		return nil, nil, &refusal{pb.ErrorKind_ERROR_KIND_CONFLICT, "the version isn't above the one in force"}
	}
	if config.Check(replacement) == nil {
		return replacement, nil, nil
	}
	fitted, adjusted := config.Fit(replacement)
	if err := config.Check(fitted); err != nil {
		return nil, nil, &refusal{pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, err.Error()}
	}
	return fitted, adjusted, nil
}

// maxAdjusted limits the adjusted values that an audit entry lists.
const maxAdjusted = 20

// adjustedTexts returns the first of the adjusted values as text, and how many more there
// are.
func adjustedTexts(adjusted []config.Problem) []string {
	var texts []string
	for i, problem := range adjusted {
		if i == maxAdjusted {
			return append(texts, fmt.Sprintf("and %d more", len(adjusted)-maxAdjusted))
		}
		texts = append(texts, truncate(problem.String()))
	}
	return texts
}

// stateFromNewest returns the state at the end of a stream, of which records has the
// newest record of each key, sorted by offset: the newest valid replacement, what was
// refused after it, and the evacuations. Every other record was superseded or is neither.
func stateFromNewest(records []platformlog.Record, bounds platformlog.Bounds) State {
	state := Empty()
	newest := newestReplacement(records)
	for i, record := range records {
		message, failed := decode(record)
		isEvacuation := message.GetEvacuate() != nil && isFromPlatform(message)
		isRefused := i > newest && (failed != nil || message.GetReplace().GetConfig() != nil)
		if i != newest && !isRefused && !isEvacuation {
			continue
		}
		state.FoldedThrough = record.Offset - 1
		state, _ = Fold(state, record)
	}
	state.FoldedThrough = max(state.FoldedThrough, bounds.Next-1)
	return state
}

// newestReplacement returns the index of the newest valid replacement among records, or
// -1 if there is none.
func newestReplacement(records []platformlog.Record) int {
	for i := len(records) - 1; i >= 0; i-- {
		message, failed := decode(records[i])
		replacement := message.GetReplace().GetConfig()
		if failed != nil || replacement == nil {
			continue
		}
		if _, _, reason := admitReplacement(Empty(), replacement, records[i].Offset); reason == nil {
			return i
		}
	}
	return -1
}
