package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// runStatus prints what is in force and on which nodes.
func runStatus(ctx context.Context, s *session) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fleet, disconnect, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	state, err := fleet.state(ctx)
	if err != nil {
		return err
	}
	status, err := fleet.fleetStatus(ctx)
	if err != nil {
		return err
	}
	var node *pb.NodeStatus
	if status != nil {
		if node, err = fleet.nodeStatus(ctx); err != nil {
			return err
		}
	}
	return s.printStatus(state, status, node)
}

func (s *session) printStatus(state configlog.State, status *pb.FleetStatus, node *pb.NodeStatus) error {
	if s.output == "json" {
		return s.printJSON(&pb.StatusReport{
			Digest:      state.Digest(),
			Preset:      state.Config.GetPreset(),
			SinceUnixMs: state.Config.GetSinceUnixMs(),
			Draining:    state.Config.GetDraining(),
			Node:        node,
			Fleet:       status,
			Evacuated:   configlog.Evacuated(state.Config),
			Unapplied:   configlog.Unapplied(state),
			Adjusted:    configlog.Adjusted(state),
		})
	}
	s.printf("%s", inForce(state))
	if entry := configlog.Unapplied(state); entry != nil {
		s.printf("NOT in force: the change at offset %d by %s was refused: %s", entry.GetOffset(), orNone(entry.GetOperator()), firstLine(entry.GetSummary()))
	}
	for _, text := range configlog.Adjusted(state) {
		s.printf("limit above a bound: %s", text)
	}
	if len(state.Config.GetDraining()) > 0 {
		s.printf("draining: %s", strings.Join(state.Config.GetDraining(), ", "))
	}
	if evacuated := configlog.Evacuated(state.Config); len(evacuated) > 0 {
		s.printf("evacuated data centres: %s", strings.Join(evacuated, ", "))
	}
	if node != nil {
		s.printNode(node)
	}
	if status != nil {
		s.printFleet(status)
	}
	return nil
}

// inForce describes which configuration is in force, since when and by whom.
func inForce(state configlog.State) string {
	if state.Version() == 0 {
		return "no configuration is published yet"
	}
	text := fmt.Sprintf("version %d, preset %s, in force since %s", state.Version(),
		state.Config.GetPreset(), formatTime(state.Config.GetSinceUnixMs()))
	for _, entry := range state.Config.GetAudit() {
		if entry.GetOffset() == state.Version() {
			text += " by " + orNone(entry.GetOperator())
		}
	}
	return text
}

func (s *session) printNode(node *pb.NodeStatus) {
	name := node.GetMember().GetInstance()
	if node.GetReady().GetReady() {
		s.printf("node %s: ready", name)
	}
	for _, reason := range node.GetReady().GetReasons() {
		kind := errkind.Of(reason.GetKind()).Name
		s.printf("node %s: not ready: %s: %s", name, reason.GetPart(), strings.TrimPrefix(reason.GetMessage(), kind+": "))
	}
	config := node.GetConfig()
	if !config.GetLogHealthy() {
		s.printf("node %s: log unreadable, last read %s: %s", name, formatTime(config.GetLogReadUnixMs()), config.GetLogError())
	}
	if config.GetDivergences() > 0 {
		s.printf("node %s: configuration contradicted by peers %d times", name, config.GetDivergences())
	}
	s.printQuotas(node)
}

// printQuotas prints the use of usage caps by callers of the node.
func (s *session) printQuotas(node *pb.NodeStatus) {
	var rows [][]string
	for _, use := range node.GetQuotas() {
		rows = append(rows, []string{
			use.GetOrganisation(),
			fmt.Sprintf("%g/s", use.GetRatePerS()),
			fmt.Sprintf("%g", use.GetBurst()),
			fmt.Sprintf("%.1f/s", use.GetDemandPerS()),
			fmt.Sprint(use.GetGranted()),
			fmt.Sprint(use.GetRefused()),
			yesNo(use.GetOwner()),
		})
	}
	if len(rows) > 0 {
		s.printTable("ORGANISATION | CAP OF THE FLEET | BURST | DEMAND HERE | GRANTED HERE | REFUSED HERE | OWNS A PART", rows)
	}
}

func (s *session) printFleet(status *pb.FleetStatus) {
	var rows [][]string
	for _, node := range status.GetNodes() {
		member := node.GetMember()
		rows = append(rows, []string{
			member.GetInstance(),
			member.GetRegion(),
			member.GetDataCentre(),
			orNone(member.GetService()),
			enumLabel(member.GetStatus().String(), "MEMBER_STATUS_"),
			yesNo(node.GetReady()),
			fmt.Sprint(node.GetDigest().GetVersion()),
			fmt.Sprint(node.GetDigest().GetFoldedThrough()),
			fmt.Sprintf("%.1fs", float64(node.GetAgeMs())/1000),
		})
	}
	s.printTable("INSTANCE | REGION | DATA CENTRE | SERVICE | STATUS | READY | VERSION | OFFSET | HEARD", rows)
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
