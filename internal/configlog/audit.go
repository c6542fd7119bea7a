package configlog

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Limits of the audit trail in a state.
const (
	maxAuditEntries = 200
	maxAuditBytes   = 192 << 10
	maxTextBytes    = 400
	maxInstanceName = 128
)

// newEntry returns the audit entry of a record before it is accepted or refused.
func newEntry(message *pb.ConfigRecord, record platformlog.Record) *pb.AuditEntry {
	return &pb.AuditEntry{
		Offset:        record.Offset,
		Id:            truncate(message.GetId()),
		Operator:      truncate(message.GetOperator()),
		TimeUnixMs:    message.GetTimeUnixMs(),
		Reason:        truncate(message.GetReason()),
		BaseVersion:   message.GetBaseVersion(),
		Summary:       truncate(Summary(message)),
		LogTimeUnixMs: record.Time.UnixMilli(),
	}
}

// Summary describes the change that a record asks for.
func Summary(message *pb.ConfigRecord) string {
	switch change := message.GetChange().(type) {
	case *pb.ConfigRecord_Publish:
		return publishSummary(change.Publish)
	case *pb.ConfigRecord_UsePreset:
		return "use preset " + change.UsePreset.GetPreset()
	case *pb.ConfigRecord_Drain:
		if change.Drain.GetDrain() {
			return "drain " + change.Drain.GetInstance()
		}
		return "undrain " + change.Drain.GetInstance()
	case *pb.ConfigRecord_Evacuate:
		if change.Evacuate.GetEvacuate() {
			return "evacuate data centre " + change.Evacuate.GetDataCentre()
		}
		return "end the evacuation of data centre " + change.Evacuate.GetDataCentre()
	case *pb.ConfigRecord_Snapshot:
		return "snapshot"
	default:
		return "unknown change"
	}
}

func publishSummary(publish *pb.Publish) string {
	text := fmt.Sprintf("publish %d services, %d presets",
		len(publish.GetConfig().GetServices()), len(publish.GetConfig().GetPresets()))
	if publish.GetPreset() != "" {
		text += ", use preset " + publish.GetPreset()
	}
	return text
}

// refuse marks entry as refused and adds the reason to its summary.
func refuse(entry *pb.AuditEntry, kind pb.ErrorKind, reason string) *pb.AuditEntry {
	entry.Accepted = false
	entry.Refusal = kind
	entry.Summary = truncate(entry.GetSummary() + ": " + reason)
	return entry
}

// isUnusable reports whether a refused record could never have been accepted: it is
// malformed or not a valid configuration.
func isUnusable(entry *pb.AuditEntry) bool {
	return entry.GetRefusal() == pb.ErrorKind_ERROR_KIND_INVALID_CONFIG || entry.GetRefusal() == pb.ErrorKind_ERROR_KIND_BAD_REQUEST
}

// Unapplied returns the audit entry of the newest record after the version in force that
// no node can apply, or nil. The operators' own system may show it as the newest version.
func Unapplied(state State) *pb.AuditEntry {
	trail := state.Config.GetAudit()
	for i := len(trail) - 1; i >= 0 && trail[i].GetOffset() > state.Version(); i-- {
		if !trail[i].GetAccepted() && isUnusable(trail[i]) {
			return trail[i]
		}
	}
	return nil
}

// Adjusted returns the limits of the version in force that are applied as a bound.
func Adjusted(state State) []string {
	return state.auditEntryAt(state.Version()).GetAdjusted()
}

// refuseConflict refuses a change that conflicts with the accepted one at offset
// winner.
func refuseConflict(entry *pb.AuditEntry, state State, winner int64) {
	entry.Winner = winner
	if winnerEntry := state.auditEntryAt(winner); winnerEntry != nil {
		entry.WinnerOperator = winnerEntry.GetOperator()
	}
	refuse(entry, pb.ErrorKind_ERROR_KIND_CONFLICT, conflictText(entry))
}

func conflictText(entry *pb.AuditEntry) string {
	text := fmt.Sprintf("based on version %d, but version %d", entry.GetBaseVersion(), entry.GetWinner())
	if entry.GetWinnerOperator() != "" {
		text += " by " + entry.GetWinnerOperator()
	}
	return text + " came first"
}

// withAudit returns state with entry added to the audit trail and the oldest
// entries over the limits dropped.
func withAudit(state *pb.ConfigState, entry *pb.AuditEntry) *pb.ConfigState {
	old := state.GetAudit()
	trail := make([]*pb.AuditEntry, 0, len(old)+1)
	trail = append(trail, old...)
	trail = append(trail, entry)
	trail = trail[max(0, len(trail)-maxAuditEntries):]
	next := shallowCopy(state)
	next.Audit = trail[entriesOverByteLimit(trail):]
	return next
}

// entriesOverByteLimit returns how many of the oldest entries must be dropped to keep
// the trail within maxAuditBytes.
func entriesOverByteLimit(trail []*pb.AuditEntry) int {
	total := 0
	for i := len(trail) - 1; i >= 0; i-- {
		total += proto.Size(trail[i])
		if total > maxAuditBytes {
			return i + 1
		}
	}
	return 0
}

// truncate limits text for one field of an audit entry: it cuts text longer than
// maxTextBytes and appends "...".
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	cut := maxTextBytes
	for cut > 0 && !utf8.RuneStart(text[cut]) {
		cut--
	}
	return text[:cut] + "..."
}

func quoteTruncated(text string) string {
	return strconv.Quote(truncate(text))
}

// isValidInstance reports whether name may be that of an instance or a data centre.
func isValidInstance(name string) bool {
	return name != "" && len(name) <= maxInstanceName && !strings.ContainsAny(name, " \t\r\n")
}
