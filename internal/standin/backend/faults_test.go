package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

func TestRefusals(t *testing.T) {
	Convey("A request that fails fast or is shed isn't executed", t, func() {
		s := newServer(Options{})
		s.SetFaults(&pb.ServerFaults{FailFastPercent: 100})
		So(call(t.Context(), s, "op", nil).Code, ShouldEqual, http.StatusInternalServerError)
		s.SetFaults(&pb.ServerFaults{ShedPercent: 100})
		So(call(t.Context(), s, "op", nil).Code, ShouldEqual, http.StatusServiceUnavailable)
		So(executed(s), ShouldBeEmpty)
	})
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A stalled server executes nothing and ends a request at its deadline", t, func() {
			s := newServer(Options{})
			s.SetFaults(&pb.ServerFaults{Stall: true})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			begin := time.Now()
			call(ctx, s, "op", nil)
			So(time.Since(begin), ShouldEqual, time.Second)
			So(s.Running(), ShouldEqual, 0)
			So(executed(s), ShouldBeEmpty)
		})
	})
}

func TestCutAnswer(t *testing.T) {
	Convey("A truncated answer ends with a closed connection", t, func() {
		s := newServer(Options{AnswerBytes: 100000})
		s.SetFaults(&pb.ServerFaults{CutPercent: 100})
		server := httptest.NewServer(s.Handler())
		defer server.Close()
		response, err := http.Get(server.URL)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(executed(s), ShouldHaveLength, 1)
	})
}

func TestCrash(t *testing.T) {
	Convey("A crash request ends the process after it is recorded in the journal file", t, func() {
		path := filepath.Join(t.TempDir(), "journal")
		exitCodes := []int{}
		exit := func(code int) {
			exitCodes = append(exitCodes, code)
			panic(http.ErrAbortHandler)
		}
		s := newServer(Options{Name: "s1", JournalFile: path, Exit: exit})
		call(t.Context(), s, "by header", nil, wire.HeaderCrash, "1")
		call(t.Context(), s, "by body", strings.NewReader(wire.CrashBody+" and more"))
		So(call(t.Context(), s, "with\ttab", strings.NewReader("other")).Code, ShouldEqual, http.StatusOK)
		So(exitCodes, ShouldResemble, []int{exitCodeCrash, exitCodeCrash})
		s.Close()

		restarted := newServer(Options{Name: "s1", JournalFile: path})
		call(t.Context(), restarted, "after", nil)
		restarted.Close()
		text, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		journals, err := ReadJournalFile(strings.NewReader(string(text) + "s1\tcut off"))
		So(err, ShouldBeNil)
		So(journals, ShouldHaveLength, 2)
		So(journals[0].GetExecutions(), ShouldHaveLength, 3)
		So(journals[0].GetExecutions()[2].GetOperation(), ShouldEqual, "with tab")
		So(journals[1].GetExecutions()[0].GetOperation(), ShouldEqual, "after")
		_, err = ReadJournalFile(strings.NewReader("s1\tr\top\tq\tnever\n"))
		So(err.Error(), ShouldContainSubstring, "line 1")
	})
}

func TestLoadEndpoints(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		load := func(s *Server) *pb.LoadReport {
			recorder := httptest.NewRecorder()
			s.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/load", nil))
			report := &pb.LoadReport{}
			So(protojson.Unmarshal(recorder.Body.Bytes(), report), ShouldBeNil)
			return report
		}
		health := func(s *Server) int {
			recorder := httptest.NewRecorder()
			s.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/health", nil))
			return recorder.Code
		}
		Convey("The load and health endpoints can report stale values", t, func() {
			s := newServer(Options{Mean: time.Minute})
			s.SetFaults(&pb.ServerFaults{LoadLagMs: 1000})
			So(load(s).GetInFlight(), ShouldEqual, 0)
			go call(t.Context(), s, "op", nil)
			s.SetFaults(&pb.ServerFaults{LoadLagMs: 1000, Draining: true})
			synctest.Wait()
			So(load(s).GetInFlight(), ShouldEqual, 0)
			So(health(s), ShouldEqual, http.StatusOK)
			time.Sleep(time.Second)
			So(load(s).GetInFlight(), ShouldEqual, 1)
			So(health(s), ShouldEqual, http.StatusServiceUnavailable)
		})
		Convey("The load and health endpoints can report false values", t, func() {
			s := newServer(Options{Mean: time.Minute})
			go call(t.Context(), s, "op", nil)
			synctest.Wait()
			s.SetFaults(&pb.ServerFaults{LoadLie: pb.LoadLie_LOAD_LIE_IDLE})
			So(load(s).GetInFlight(), ShouldEqual, 0)
			s.SetFaults(&pb.ServerFaults{LoadLie: pb.LoadLie_LOAD_LIE_FULL})
			So(load(s).GetInFlight(), ShouldEqual, defaultSlots)
			s.SetFaults(&pb.ServerFaults{LoadLie: pb.LoadLie_LOAD_LIE_HEALTHY, Draining: true})
			So(health(s), ShouldEqual, http.StatusOK)
			s.SetFaults(&pb.ServerFaults{LoadLie: pb.LoadLie_LOAD_LIE_UNHEALTHY})
			So(health(s), ShouldEqual, http.StatusServiceUnavailable)
			time.Sleep(time.Minute)
		})
	})
}

func TestAdmin(t *testing.T) {
	Convey("Given the admin endpoints of a server that retains two executions", t, func() {
		s := newServer(Options{Name: "s1", JournalSize: 2})
		for _, op := range []string{"a", "b", "c"} {
			call(t.Context(), s, op, nil)
		}
		admin := httptest.NewServer(s.Admin())
		defer admin.Close()
		Convey("the journal drops the oldest execution and counts it, in both encodings", func() {
			check := func(journal *pb.Journal) {
				So(journal.GetForgotten(), ShouldEqual, 1)
				So(journal.GetExecutions()[0].GetOperation(), ShouldEqual, "b")
				So(journal.GetExecutions()[1].GetOperation(), ShouldEqual, "c")
			}
			journal := &pb.Journal{}
			So(protojson.Unmarshal(get(admin.URL+"/journal", ""), journal), ShouldBeNil)
			check(journal)
			So(proto.Unmarshal(get(admin.URL+"/journal", ContentTypeProtobuf), journal), ShouldBeNil)
			check(journal)
		})
		Convey("faults can be set and read, and unknown ones are rejected", func() {
			So(putFaults(admin.URL, `{"straggleFactor":10}`), ShouldEqual, http.StatusOK)
			So(s.faults.Load().GetStraggleFactor(), ShouldEqual, 10)
			So(putFaults(admin.URL, `{"stragle":10}`), ShouldEqual, http.StatusBadRequest)
			So(string(get(admin.URL+"/faults", "")), ShouldContainSubstring, "straggleFactor")
		})
	})
}

func get(url, accept string) []byte {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	So(err, ShouldBeNil)
	request.Header.Set("Accept", accept)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return body
}

func putFaults(url, text string) int {
	request, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(text))
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.StatusCode
}

// pipeListener accepts the connections that are sent to conns.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }

func TestConnectionLimit(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Connections beyond the limit are closed, closing one allows another, and the first read of a new one is delayed", t, func() {
			inner := pipeListener{conns: make(chan net.Conn)}
			s := newServer(Options{Connections: 1, ConnectDelay: time.Second})
			listener := s.Listener(inner)
			accepted := make(chan net.Conn)
			go func() {
				for range 2 {
					conn, _ := listener.Accept()
					accepted <- conn
				}
			}()
			dial := func() net.Conn {
				client, server := net.Pipe()
				inner.conns <- server
				return client
			}
			dial()
			first := <-accepted
			_, err := dial().Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(first.Close(), ShouldBeNil)
			_ = first.Close()
			third := dial()
			begin := time.Now()
			go third.Write([]byte("ab"))
			conn := <-accepted
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldEqual, time.Second)
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldBeNil)
			So(time.Since(begin), ShouldEqual, time.Second)
		})
	})
}

func TestSilence(t *testing.T) {
	Convey("After a silence fault an open connection discards all traffic without closing, while a new one works", t, func() {
		s := newServer(Options{})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{Handler: s.Handler()}
		go server.Serve(s.Listener(inner))
		defer server.Close()
		old, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		defer old.Close()
		So(roundTrip(old), ShouldEqual, http.StatusOK)
		s.SetFaults(&pb.ServerFaults{Silence: true})
		_, err = io.WriteString(old, "GET /discarded HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		fresh, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		defer fresh.Close()
		So(roundTrip(fresh), ShouldEqual, http.StatusOK)
		So(server.Close(), ShouldBeNil)
		So(old.SetReadDeadline(time.Now().Add(20*time.Millisecond)), ShouldBeNil)
		_, err = old.Read(make([]byte, 1))
		So(err, ShouldWrap, os.ErrDeadlineExceeded)
		So(executed(s), ShouldBeEmpty)
	})
}

func TestSilenceOutlastsDeadlines(t *testing.T) {
	Convey("A silent connection stays open when a deadline is set after its close", t, func() {
		s := newServer(Options{})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := s.Listener(inner)
		defer listener.Close()
		client, err := net.Dial("tcp", inner.Addr().String())
		So(err, ShouldBeNil)
		defer client.Close()
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		s.SetFaults(&pb.ServerFaults{Silence: true})
		So(conn.Close(), ShouldBeNil)
		So(conn.SetReadDeadline(time.Unix(1, 0)), ShouldBeNil)
		So(client.SetReadDeadline(time.Now().Add(50*time.Millisecond)), ShouldBeNil)
		_, err = client.Read(make([]byte, 1))
		So(err, ShouldWrap, os.ErrDeadlineExceeded)
	})
}

// roundTrip sends a request, reads the whole answer and returns its status.
func roundTrip(conn net.Conn) int {
	_, err := io.WriteString(conn, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	So(err, ShouldBeNil)
	_, err = io.Copy(io.Discard, response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode
}
