package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/standin/backend"
	"github.com/egretfield/egretfield/internal/standin/rawanswer"
)

const (
	// caseHeader names the case of the table with which the server answers.
	caseHeader = "X-Case"
	// uploadBytes is more than the buffers on the way to the server hold.
	uploadBytes = 64 << 20
	// resetRepeats is how often a case with a reset is tried: whether a read or a write gets
	// the error of a reset differs from time to time.
	resetRepeats = 8
	// healthCaseInterval: the first of so many cases is used as a health answer.
	healthCaseInterval = 8
	// healthPause is longer than a question that is in flight may take.
	healthPause = 500 * time.Millisecond
)

// coldRawConfiguration makes the node ask the raw server's health endpoint whether the server
// is cold.
const coldRawConfiguration = `
services: [{name: raw, health_path: /health, cold_ms: 3000, cold_requests_per_s: 20}]
presets: [{name: ordinary}]
default_preset: ordinary
`

const rawConfiguration = `
services:
  - name: orders
  - name: raw
request_routes:
  - {name: once, host: raw, path_prefix: /once/, services: [{service: raw, weight: 1}], timeout_ms: 1000}
  - {name: repeated, host: raw, path_prefix: /repeated/, services: [{service: raw, weight: 1}], idempotent: true, timeout_ms: 1000}
presets: [{name: ordinary}]
default_preset: ordinary
`

// chooseCase returns the case that a request names.
func chooseCase(cases []rawanswer.Case) func(*http.Request) rawanswer.Case {
	return func(r *http.Request) rawanswer.Case {
		number, err := strconv.Atoi(r.Header.Get(caseHeader))
		if err != nil {
			return rawanswer.Plain
		}
		return cases[number]
	}
}

// startRawServer replaces the backend server of an instance by one that answers with the
// cases that choose returns.
func startRawServer(t *testing.T, i *instance, choose func(*http.Request) rawanswer.Case) {
	i.server.terminate()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go rawanswer.Serve(nc, choose)
		}
	}()
	announced, err := backend.New(backend.Options{Name: "raw", Service: "raw"})
	if err != nil {
		t.Fatal(err)
	}
	go announced.NewAnnouncer(i.addresses.Announce, l.Addr().String()).Run(ctx, func(err error) {
		if err != nil {
			t.Errorf("announce the raw server: %v", err)
		}
	})
}

// rawAnswer is what a caller got.
type rawAnswer struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	// err is the error after which the answer isn't complete.
	err error
}

// isOwn reports whether a node made the answer.
func (a *rawAnswer) isOwn() bool { return a.header.Get("Egret-Error") != "" }

// situation is how a request reaches the server.
type situation struct {
	via *instance
	// kept: the request follows another one on the same connections.
	kept bool
	// upload: the request has a long body.
	upload bool
	// behind: another request follows before the answer.
	behind bool
	path   string
}

// ask sends a request that the server answers with a case, and returns the answer.
func (s *situation) ask(number int) (*rawAnswer, error) {
	nc, err := net.Dial("tcp", s.via.addresses.Caller)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(nc)
	if s.kept {
		fmt.Fprintf(nc, "GET /repeated/ HTTP/1.1\r\nHost: raw\r\n\r\n")
		if first := readRawAnswer(reader); first.err != nil || first.body != rawanswer.Plain.Body {
			return nil, fmt.Errorf("the request before: %v, status %d, %s", first.err, first.status, first.body)
		}
	}
	if s.behind {
		_, _ = fmt.Fprintf(nc, "GET %[1]s HTTP/1.1\r\nHost: raw\r\n%[2]s: %[3]d\r\n\r\nGET %[1]s HTTP/1.1\r\nHost: raw\r\n\r\n", s.path, caseHeader, number)
		answer := readRawAnswer(reader)
		if answer.err != nil {
			return answer, nil
		}
		if next := readRawAnswer(reader); next.err != nil || next.status != http.StatusOK || next.body != rawanswer.Plain.Body {
			return nil, fmt.Errorf("the request behind: %v, status %d, %s", next.err, next.status, next.body)
		}
		return answer, nil
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: raw\r\nEgret-Timeout: 2s\r\n%s: %d\r\n", s.path, caseHeader, number)
	if !s.upload {
		_, _ = io.WriteString(nc, head+"Content-Length: 0\r\n\r\n")
		return readRawAnswer(reader), nil
	}
	_, _ = fmt.Fprintf(nc, "%sContent-Length: %d\r\n\r\n", head, uploadBytes)
	go func() {
		part := strings.Repeat("x", 64<<10)
		for sent := 0; sent < uploadBytes; sent += len(part) {
			if _, err := io.WriteString(nc, part); err != nil {
				return
			}
		}
	}()
	return readRawAnswer(reader), nil
}

func readRawAnswer(reader *bufio.Reader) *rawAnswer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return &rawAnswer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return &rawAnswer{status: response.StatusCode, header: response.Header, body: string(body), trailer: response.Trailer, err: err}
}

// judge returns what is wrong with an answer, or nil.
func judge(want *rawanswer.Case, got *rawAnswer) error {
	delivered := got.err == nil && !got.isOwn()
	switch {
	case want.Broken && delivered:
		return fmt.Errorf("a broken answer was delivered: status %d, header %q, %d bytes of body, trailer %q", got.status, got.header, len(got.body), got.trailer)
	case want.Broken && got.err == nil && got.header.Get("Egret-Run") != "unknown":
		return fmt.Errorf("want an answer that says that the request may have run, got status %d, %s", got.status, got.body)
	case want.Broken:
		return nil
	case !delivered:
		return fmt.Errorf("a sound answer wasn't delivered: %v, status %d, %q", got.err, got.status, got.body)
	case got.status != want.Status || got.body != want.Body:
		return fmt.Errorf("want status %d and %q, got %d and %q", want.Status, want.Body, got.status, got.body)
	case fmt.Sprint(got.trailer) != fmt.Sprint(want.Trailer):
		return fmt.Errorf("want trailer %q, got %q", want.Trailer, got.trailer)
	}
	return nil
}

// TestBrokenAnswers guards against an answer that breaks HTTP, or that ends early, and reaches
// a caller as a complete one; and against a sound one that doesn't (MIXED).
func TestBrokenAnswers(t *testing.T) {
	cases := rawanswer.Cases()
	f := &fleet{t: t, dir: t.TempDir(), places: [][2]string{{"north", "taipei"}, {"north", "hsinchu"}}}
	f.start(2)
	f.publish(rawConfiguration)
	startRawServer(t, f.instances[1], chooseCase(cases))
	for _, i := range f.instances {
		awaitRawServer(i)
	}
	for _, hop := range []struct {
		name string
		via  *instance
	}{{"at its own node", f.instances[1]}, {"through another node", f.instances[0]}} {
		for _, path := range []string{"/once/", "/repeated/"} {
			for _, kept := range []bool{false, true} {
				for _, kind := range []string{"alone", "upload", "behind"} {
					s := situation{via: hop.via, kept: kept, upload: kind == "upload", behind: kind == "behind", path: path}
					t.Run(fmt.Sprintf("%s, %s, kept=%v, %s", hop.name, path, kept, kind), func(t *testing.T) { s.run(t, cases) })
				}
			}
		}
	}
}

// awaitRawServer waits until a node serves requests for the raw server.
func awaitRawServer(i *instance) {
	s := situation{via: i, path: "/once/"}
	i.fleet.await("the raw server served at "+i.name, func() bool {
		got, err := s.ask(0)
		return err == nil && judge(&rawanswer.Plain, got) == nil
	})
}

func (s *situation) run(t *testing.T, cases []rawanswer.Case) {
	for number := range cases {
		c := &cases[number]
		repeats := 1
		if c.End == rawanswer.Reset || c.End == rawanswer.FinishThenReset {
			repeats = resetRepeats
		}
		for range repeats {
			got, err := s.ask(number)
			if err == nil {
				err = judge(c, got)
			}
			if err != nil {
				t.Errorf("an answer with %s: %v", c.Name, err)
				break
			}
		}
	}
}

// coldQuestions returns the numbers of questions whether the server of an instance is cold
// that were answered and that failed.
func (i *instance) coldQuestions() (answered, failed string) {
	response, err := http.Get("http://" + i.addresses.Ops + "/metrics")
	if err != nil {
		return "", ""
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		switch {
		case !strings.HasPrefix(name, "egretfield_gate_cold_questions_total{"):
		case strings.Contains(name, `result="answered"`):
			answered = value
		case strings.Contains(name, `result="failed"`):
			failed = value
		}
	}
	return answered, failed
}

// TestBrokenHealthAnswers guards against a server that counts as warm by a health answer that
// breaks HTTP. The test of the same name in internal/gate has the whole table.
func TestBrokenHealthAnswers(t *testing.T) {
	var health atomic.Pointer[rawanswer.Case]
	health.Store(&rawanswer.Plain)
	f := newFleet(t, 1)
	i := f.instances[0]
	f.publish(coldRawConfiguration)
	startRawServer(t, i, func(r *http.Request) rawanswer.Case {
		if r.URL.Path == "/health" {
			return *health.Load()
		}
		return rawanswer.Plain
	})
	awaitRawServer(i)
	for number, c := range rawanswer.Cases() {
		isCutLate := c.Broken && len(c.Raw) > 8<<10 // behind the part of the body that is read
		if number%healthCaseInterval != 0 || isCutLate {
			continue
		}
		health.Store(&c)
		time.Sleep(healthPause)
		answered, failed := i.coldQuestions()
		f.await("a question with the answer "+c.Name, func() bool {
			s := situation{via: i, path: "/"}
			for range 10 {
				if _, err := s.ask(0); err != nil {
					return false
				}
			}
			nowAnswered, nowFailed := i.coldQuestions()
			if c.Broken && nowAnswered != answered {
				t.Errorf("a broken health answer was taken for one: %s", c.Name)
			}
			if !c.Broken && nowFailed != failed {
				t.Errorf("a sound health answer wasn't taken for one: %s", c.Name)
			}
			return nowAnswered != answered || nowFailed != failed
		})
	}
}
