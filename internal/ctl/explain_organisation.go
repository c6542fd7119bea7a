package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/pb"
)

// explainOrganisation explains the rules that hold for an organisation's requests, and
// since when it has or had which API keys. Keys are shown as digests.
func explainOrganisation(state configlog.State, name string, owners []*pb.CapOwner) *pb.Finding {
	finding := &pb.Finding{Subject: "organisation " + name, Answer: "isn't in the configuration in force"}
	holders := map[string]string{} // the organisation of each key, by digest
	var keys []string
	for _, organisation := range state.Config.GetConfig().GetOrganisations() {
		for _, key := range organisation.GetApiKeys() {
			digest := apikey.Shown(key)
			holders[digest] = organisation.GetName()
			if organisation.GetName() == name {
				keys = append(keys, digest)
			}
		}
		if organisation.GetName() == name {
			finding.Answer = organisationRules(organisation)
		}
	}
	for _, owner := range owners {
		finding.Because = append(finding.Because, fmt.Sprintf("cap in region %s: granted by %s", owner.GetRegion(), orNone(owner.GetInstance())))
	}
	history := keyHistoryOf(state.Config.GetAudit(), name)
	for _, digest := range keys {
		finding.Because = append(finding.Because, fmt.Sprintf("key %s: added %s", digest, history.text(history.added, digest)))
	}
	for _, digest := range history.order {
		if slices.Contains(keys, digest) || history.withdrawn[digest] == nil {
			continue
		}
		text := fmt.Sprintf("key %s: withdrawn %s", digest, history.text(history.withdrawn, digest))
		if holder := holders[digest]; holder != "" {
			text += ", now a key of organisation " + holder
		}
		finding.Because = append(finding.Because, text)
	}
	if history.incomplete > 0 {
		finding.Because = append(finding.Because, fmt.Sprintf("keys withdrawn by version %d or earlier may be missing: its audit entry doesn't list all changes", history.incomplete))
	}
	return finding
}

func organisationRules(organisation *pb.Organisation) string {
	class := "class of the route"
	if organisation.GetClass() != pb.Class_CLASS_UNSPECIFIED {
		class = "class " + enumLabel(organisation.GetClass().String(), "CLASS_")
	}
	regions := "all regions"
	if allowed := organisation.GetAllowedRegions(); len(allowed) > 0 {
		regions = "regions " + strings.Join(allowed, ", ")
	}
	usageCap := "no usage cap"
	if organisation.GetRatePerS() > 0 {
		usageCap = fmt.Sprintf("usage cap %g/s with a burst of %g", organisation.GetRatePerS(), organisation.GetBurst())
	}
	return strings.Join([]string{class, regions, usageCap, fmt.Sprintf("%d API keys", len(organisation.GetApiKeys()))}, ", ")
}

// keyHistory is what the audit trail tells of an organisation's API keys, by digest.
type keyHistory struct {
	added, withdrawn map[string]*pb.AuditEntry
	// order has the digests in the order in which the trail names them.
	order []string
	// incomplete is the last version whose entry doesn't list all changes of the keys, and
	// begin the first one that the trail has.
	incomplete, begin int64
}

func keyHistoryOf(audit []*pb.AuditEntry, organisation string) *keyHistory {
	h := &keyHistory{added: map[string]*pb.AuditEntry{}, withdrawn: map[string]*pb.AuditEntry{}}
	path := "config.organisations[" + organisation + "].api_keys"
	if len(audit) > 0 {
		h.begin = audit[0].GetOffset()
	}
	for _, entry := range audit {
		changes := entry.GetChanges()
		if !entry.GetAccepted() {
			continue
		}
		// Changes are sorted by path, so those omitted have later ones.
		if entry.GetChangesOmitted() > 0 && len(changes) > 0 && changes[len(changes)-1].GetPath() < path {
			h.incomplete = entry.GetOffset()
		}
		for _, change := range changes {
			if change.GetPath() == path {
				h.apply(entry, change)
			}
		}
	}
	return h
}

func (h *keyHistory) apply(entry *pb.AuditEntry, change *pb.Change) {
	before, beforeComplete := digestsIn(change.GetBefore())
	after, afterComplete := digestsIn(change.GetAfter())
	if !beforeComplete || !afterComplete {
		h.incomplete = entry.GetOffset()
		return
	}
	for _, digest := range after {
		if !slices.Contains(before, digest) {
			h.note(h.added, digest, entry)
		}
	}
	for _, digest := range before {
		if !slices.Contains(after, digest) {
			h.note(h.withdrawn, digest, entry)
		}
	}
}

func (h *keyHistory) note(events map[string]*pb.AuditEntry, digest string, entry *pb.AuditEntry) {
	events[digest] = entry
	if !slices.Contains(h.order, digest) {
		h.order = append(h.order, digest)
	}
}

// digestsIn returns the digests that a change lists, and false if the list was cut.
func digestsIn(text string) (digests []string, complete bool) {
	if text == "" {
		return nil, true
	}
	digests = strings.Split(text, ", ")
	return digests, !slices.ContainsFunc(digests, func(digest string) bool { return !apikey.IsShown(digest) })
}

// text says which version did something to a key.
func (h *keyHistory) text(events map[string]*pb.AuditEntry, digest string) string {
	entry := events[digest]
	switch {
	case h.incomplete > entry.GetOffset():
		return fmt.Sprintf("by version %d or an earlier one", h.incomplete)
	case entry == nil:
		return fmt.Sprintf("before version %d, where the audit trail begins", h.begin)
	}
	text := fmt.Sprintf("by version %d", entry.GetOffset())
	for _, change := range entry.GetChanges() {
		if change.GetPath() == "config.operator_version" {
			text += ", operator's version " + change.GetAfter()
		}
	}
	return fmt.Sprintf("%s, at %s by %s%s", text, formatTime(cmp.Or(entry.GetLogTimeUnixMs(), entry.GetTimeUnixMs())), orNone(entry.GetOperator()), reasonSuffix(entry))
}
