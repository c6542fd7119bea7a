package http1

import (
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// versionPrefix and one more digit are the version of HTTP/1.x.
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	// RFC 9110, section 15: other numbers of three digits are no status codes.
	minStatus, maxStatus = 100, 599
	// usualFields is the number of fields for which room is made ahead.
	usualFields = 8
	blanks      = " \t"
)

// parseStatusLine parses a status line (RFC 9112, section 4) and returns the minor version.
// Several spaces before the status and none before an empty reason phrase are accepted.
func (a *Answer) parseStatusLine(line string) (minorVersion int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return 0, malformed("version in the status line %q, expected HTTP/1.x", line)
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(code) != statusDigits || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, malformed("status in the status line %q, expected three digits", line)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, malformed("control character in the status line %q", line)
	}
	a.Status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if a.Status < minStatus || a.Status > maxStatus {
		return 0, malformed("status %d, expected %d to %d", a.Status, minStatus, maxStatus)
	}
	if a.Status == http.StatusSwitchingProtocols {
		return 0, malformed("status %d, but no upgrade was requested", a.Status)
	}
	return int(minor[0] - '0'), nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// readFields reads field lines up to the empty line behind them (RFC 9112, section 5). A
// field that continues on the next line is accepted, with a space in between.
func (r *Reader) readFields() (http.Header, error) {
	if first, err := r.buffer.Peek(1); err == nil && strings.IndexByte(blanks, first[0]) >= 0 {
		return nil, malformed("the first field line begins with a blank")
	}
	header := make(http.Header, usualFields)
	values := make([]string, 0, usualFields)
	for {
		line, err := r.lines.ReadContinuedLine()
		if err != nil {
			return nil, unexpected(err)
		}
		if line == "" {
			return header, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, r.lineError(err)
		}
		if earlier, ok := header[name]; ok {
			header[name] = append(earlier, value)
			continue
		}
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
}

// parseField parses a field line and returns the name in canonical form. A blank before the
// colon is an error: recipients differ in whether they take the field for the one without.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok {
		return "", "", malformed("field line %q without a colon", line)
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return "", "", malformed("field name %q", name)
	}
	value = strings.Trim(value, blanks)
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", "", malformed("control character in the value of field %s", name)
	}
	return textproto.CanonicalMIMEHeaderKey(name), value, nil
}
