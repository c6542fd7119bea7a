// Package rawanswer is a stand-in for a backend server that writes its answers byte by byte,
// and a table of such answers: sound ones, and ones that break RFC 9110 or RFC 9112.
package rawanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// End is what the server does with the connection after it has written an answer.
type End int

// Ends of an answer.
const (
	// Keep keeps the connection and reads on.
	Keep End = iota
	// Finish closes the sending direction and reads on until the peer closes.
	Finish
	// FinishThenReset closes the sending direction, and resets the connection later.
	FinishThenReset
	// Reset resets the connection.
	Reset
)

// Case is an answer of the table.
type Case struct {
	Name string
	// Raw is what the server writes.
	Raw string
	End End
	// Broken reports whether a caller must not get the answer as a complete one.
	Broken bool
	// Status, Body and Trailer are what a caller gets of a sound answer.
	Status  int
	Body    string
	Trailer http.Header
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	sound   = ok + "Content-Length: 5\r\n\r\nhello"
)

// Plain is a sound answer of the simplest form.
var Plain = Case{Name: "a length", Raw: sound, Status: http.StatusOK, Body: "hello"}

// Cases returns the table.
func Cases() []Case {
	return append(soundCases(), brokenCases()...)
}

func soundCases() []Case {
	whole := func(name, raw string) Case {
		return Case{Name: name, Raw: raw, Status: http.StatusOK, Body: "hello"}
	}
	until := func(end End, name, raw string) Case {
		return Case{Name: name, Raw: raw, End: end, Status: http.StatusOK, Body: "hello"}
	}
	status := func(status int, name, raw, body string) Case {
		return Case{Name: name, Raw: raw, Status: status, Body: body}
	}
	trailer := whole("chunks and a trailer", chunked+"2\r\nhe\r\n3\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n")
	trailer.Trailer = http.Header{"X-Sum": {"1"}}
	refusal := func(end End, name, framing string) Case {
		return Case{Name: name, Raw: "HTTP/1.1 413 Content Too Large\r\n" + framing + "\r\nhello", End: end, Status: http.StatusRequestEntityTooLarge, Body: "hello"}
	}
	return []Case{
		Plain,
		whole("chunks", chunked+"5\r\nhello\r\n0\r\n\r\n"),
		whole("chunks with extensions", chunked+"005;a=b\r\nhello\r\n0;c\r\n\r\n"),
		trailer,
		until(Finish, "the end of the connection as its end", ok+"\r\nhello"),
		until(FinishThenReset, "the end of the connection as its end and a reset after it", ok+"\r\nhello"),
		until(Finish, "version 1.0", "HTTP/1.0 200 OK\r\n\r\nhello"),
		whole("a later minor version", "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
		whole("an interim answer before it", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+sound),
		whole("an unasked 100 before it", "HTTP/1.1 100 Continue\r\n\r\n"+sound),
		whole("a folded field", ok+"X-Folded: a\r\n b\r\nContent-Length: 5\r\n\r\nhello"),
		whole("the same length twice", ok+"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"),
		whole("a list of the same length", ok+"Content-Length: 5, 5\r\n\r\nhello"),
		whole("bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello"),
		whole("an empty reason phrase", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello"),
		whole("no reason phrase", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello"),
		whole("an empty field value", ok+"X-Empty:\r\nContent-Length: 5\r\n\r\nhello"),
		whole("bytes above ASCII in a value", ok+"X-Text: gr\xc3\xbc\xc3\x9fe\r\nContent-Length: 5\r\n\r\nhello"),
		whole("all characters of a field name", ok+"!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 5\r\n\r\nhello"),
		whole("blanks around values", ok+"Content-Length: \t 5 \t\r\nX-Other:a \r\n\r\nhello"),
		whole("a coding in capitals", ok+"transfer-encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
		status(http.StatusNoContent, "no body", "HTTP/1.1 204 No Content\r\n\r\n", ""),
		status(http.StatusNotModified, "a length of a body that isn't sent", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""),
		status(299, "an unregistered status", "HTTP/1.1 299 What\r\nContent-Length: 5\r\n\r\nhello", "hello"),
		status(599, "the last status", "HTTP/1.1 599 Last\r\nContent-Length: 5\r\n\r\nhello", "hello"),
		status(http.StatusInternalServerError, "a failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nhello", "hello"),
		refusal(Keep, "a refusal with a length", "Content-Length: 5\r\n"),
		refusal(Finish, "a refusal with a length that closes", "Content-Length: 5\r\nConnection: close\r\n"),
		refusal(Finish, "a refusal without a length", "Connection: close\r\n"),
		refusal(FinishThenReset, "a refusal without a length and a reset after it", "Connection: close\r\n"),
	}
}

func brokenCases() []Case {
	var cases []Case
	add := func(end End, name, raw string) {
		cases = append(cases, Case{Name: name, Raw: raw, End: end, Broken: true})
	}
	for _, line := range []string{
		"HTTP/1.1 000 What", "HTTP/1.1 099 What", "HTTP/1.1 600 What", "HTTP/1.1 999 What", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1 20\xb2 OK", "HTTP/1.1", "HTTP/1.1 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "HTTP/1.1200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", " HTTP/1.1 200 OK", "HTTP/1.1 101 Switching Protocols", "", "hello",
	} {
		add(Keep, "status line "+visible(line), line+"\r\nContent-Length: 5\r\n\r\nhello")
		if line != "" {
			add(Keep, "status line "+visible(line)+" of an interim answer", line+"\r\n\r\n"+sound)
		}
	}
	for _, line := range []string{
		"X Y: 1", "X : 1", "X\t: 1", " X: 1", "X\x01Y: 1", "X\x00: 1", "X\x7f: 1", "X\tY: 1", "X\rY: 1", "\xc3\x9c: 1", "X(Y): 1", "X@Y: 1", ": 1", "X", "X\r: 1",
		"X: a\x00b", "X: a\rb", "X: a\x01b", "X: a\x7fb", "X: a\r",
		"Content-Length : 2", "Transfer-Encoding : chunked", "Content Length: 2", "Trans\x0bfer-Encoding: chunked", "Connection : close",
	} {
		add(Keep, "field "+visible(line), ok+line+"\r\nContent-Length: 5\r\n\r\nhello")
		add(Keep, "field "+visible(line)+" at the end of the head", ok+"Content-Length: 5\r\n"+last(line)+"\r\n\r\nhello")
		add(Keep, "field "+visible(line)+" in an interim answer", "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+sound)
		add(Keep, "field "+visible(line)+" in a trailer", chunked+"5\r\nhello\r\n0\r\n"+line+"\r\n\r\n")
	}
	for _, framing := range []string{
		"Content-Length: 5\r\nContent-Length: 6", "Content-Length: 5, 6", "Content-Length: +5", "Content-Length: -5", "Content-Length: 5x", "Content-Length: 0x5", "Content-Length: 5 5",
		"Content-Length:", "Content-Length: 5,", "Content-Length: 99999999999999999999",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: xchunked", "Transfer-Encoding:", "Transfer-Encoding: chunked, identity",
	} {
		add(Keep, "framing "+visible(framing), ok+framing+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}
	for _, both := range []string{"Content-Length: 5\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 15"} {
		add(Keep, "framing "+visible(both), ok+both+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}
	add(Finish, "chunks in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	add(Finish, "chunks and a length in version 1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	for _, chunks := range []string{"zz\r\nhello\r\n0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "5\nhello\n0\n\n", "5\r\nhello0\r\n\r\n", "4\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n", "10000000000000005\r\nhello\r\n0\r\n\r\n"} {
		add(Keep, "chunks "+visible(chunks), chunked+chunks)
	}
	// The parts are long enough that a caller has got the beginning of the answer.
	part := strings.Repeat("hello, world ", 5000)
	for _, end := range []End{Finish, Reset} {
		name := map[End]string{Finish: " and the end", Reset: " and a reset"}[end]
		add(end, "a part of the head"+name, "HTTP/1.1 200 OK\r\nContent-Le")
		add(end, "a part of the length"+name, ok+"Content-Length: 100000\r\n\r\n"+part)
		add(end, "a part of the chunks"+name, chunked+"fde8\r\n"+part+"\r\n")
		add(end, "a part of a chunk"+name, chunked+"ffff\r\n"+part)
		add(end, "no end of the trailer"+name, chunked+"5\r\nhello\r\n0\r\nX-Sum: 1\r\n")
		add(end, "no last line"+name, chunked+"5\r\nhello\r\n0\r\n")
	}
	add(Reset, "no length, a part of the body and a reset", ok+"\r\n"+part)
	add(Reset, "no length, a short part of the body and a reset", ok+"\r\nhello")
	add(Reset, "version 1.0, a part of the body and a reset", "HTTP/1.0 200 OK\r\n\r\n"+part)
	add(Reset, "no length, no body and a reset", ok+"\r\n")
	return cases
}

// last returns a field line as the last one of its head. One that would continue the line
// before it is sound there.
func last(line string) string {
	if strings.HasPrefix(line, " ") {
		return "X" + line
	}
	return line
}

// visible returns text on one line, with its control characters readable.
func visible(text string) string {
	return strings.NewReplacer("\r\n", " | ", "\r", `\r`, "\n", `\n`, "\t", `\t`, "\x00", `\x00`, "\x01", `\x01`, "\x0b", `\x0b`, "\x7f", `\x7f`, "\xb2", `\xb2`).Replace(text)
}

// resetDelay is the time from the end of an answer to the reset of FinishThenReset: long
// enough that the peer gets the end.
const resetDelay = 20 * time.Millisecond

// Serve answers the requests of a connection: each head that it reads with the case that
// choose returns for it. Bodies are left unread until their answer is written.
func Serve(nc net.Conn, choose func(*http.Request) Case) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := choose(request)
		if _, err := io.WriteString(nc, answer.Raw); err != nil {
			return
		}
		switch answer.End {
		case Reset:
			_ = nc.(*net.TCPConn).SetLinger(0) // the deferred Close resets
			return
		case Finish, FinishThenReset:
			_ = nc.(*net.TCPConn).CloseWrite()
			if answer.End == FinishThenReset {
				time.Sleep(resetDelay)
				_ = nc.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}
