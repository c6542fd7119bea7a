package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf16"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const timeLayout = "2006-01-02 15:04:05"

// encodeJSON returns message as indented JSON with schema field names.
func encodeJSON(message proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return escapeInJSON(indented.Bytes()), nil
}

// escapeInJSON escapes the characters outside ASCII that aren't printable, which JSON
// allows in strings.
func escapeInJSON(data []byte) []byte {
	escaped := make([]byte, 0, len(data))
	for _, r := range string(data) {
		if r < utf8.RuneSelf || strconv.IsPrint(r) {
			escaped = utf8.AppendRune(escaped, r)
			continue
		}
		for _, unit := range utf16.Encode([]rune{r}) {
			escaped = fmt.Appendf(escaped, `\u%04x`, unit)
		}
	}
	return escaped
}

// printable returns the text with the characters that aren't printable escaped as in Go
// strings. Texts of callers, such as the path of a request, could otherwise add lines to
// the output or control the operator's terminal.
func printable(text string) string {
	var b strings.Builder
	for len(text) > 0 {
		r, size := utf8.DecodeRuneInString(text)
		if strconv.IsPrint(r) && (r != utf8.RuneError || size > 1) {
			b.WriteString(text[:size])
		} else {
			quoted := strconv.Quote(text[:size])
			b.WriteString(quoted[1 : len(quoted)-1])
		}
		text = text[size:]
	}
	return b.String()
}

func (s *session) printJSON(message proto.Message) error {
	data, err := encodeJSON(message)
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "encode output")
	}
	_, err = s.env.Stdout.Write(data)
	return err
}

// printTable prints rows in aligned columns under a header, whose columns are separated
// by " | ". Characters that aren't printable are escaped.
func (s *session) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " | ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = printable(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// printf prints one line. Characters that aren't printable are escaped.
func (s *session) printf(format string, args ...any) {
	fmt.Fprintln(s.env.Stdout, printable(fmt.Sprintf(format, args...)))
}

// printAccepted prints an accepted change and where it is in force. p is nil if no node
// was asked.
func (s *session) printAccepted(entry *pb.AuditEntry, p *progress, elapsed time.Duration) error {
	if s.output == "json" {
		return s.printJSON(entry)
	}
	s.printf("accepted at offset %d: %s", entry.GetOffset(), entry.GetSummary())
	s.printChanges(entry)
	if p == nil {
		s.printf("in force once nodes read it; give -node to wait for them")
		return nil
	}
	if p.unknown() == 0 {
		s.printf("in force on all %d nodes after %.1f s", p.live, elapsed.Seconds())
	} else {
		s.printf("in force on the %d nodes that the node asked reaches after %.1f s; unknown of %d others",
			p.live, elapsed.Seconds(), p.unknown())
	}
	for _, centre := range p.dataCentres {
		s.printf("  %s", centre.text())
	}
	return nil
}

func (s *session) printChanges(entry *pb.AuditEntry) {
	for _, change := range entry.GetChanges() {
		s.printf("  %s: %s -> %s", change.GetPath(), orNone(change.GetBefore()), orNone(change.GetAfter()))
	}
	if omitted := entry.GetChangesOmitted(); omitted > 0 {
		s.printf("  and %d more", omitted)
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// formatTime formats Unix milliseconds in UTC; zero gives a dash.
func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(timeLayout)
}

// enumLabel converts an enum name such as MEMBER_STATUS_ALIVE to "alive".
func enumLabel(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
