package main

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const eventLines = `{"Action":"pass","Package":"p","Test":"TestGood"}
{"Action":"output","Package":"p","Test":"TestBad","Output":"boom\n"}
{"Action":"fail","Package":"p","Test":"TestBad"}
{"Action":"fail","Package":"p"}
`

func TestKnownFailures(t *testing.T) {
	Convey("Given a run in which one test failed", t, func() {
		result := newTestResults()
		So(result.collect(strings.NewReader(eventLines)), ShouldBeNil)
		So(result.passed, ShouldEqual, 1)

		Convey("the result is an error when the test isn't listed", func() {
			So(checkFailures(result, nil), ShouldNotBeNil)
		})
		Convey("the result is no error when exactly that test is listed", func() {
			known, err := parseKnownFailures(strings.NewReader("p.TestBad | go test p | 1 | boom | 2"))
			So(err, ShouldBeNil)
			So(checkFailures(result, known), ShouldBeNil)
		})
		Convey("the result is an error when a listed test doesn't exist", func() {
			known, err := parseKnownFailures(strings.NewReader("p.TestBad | c | 1 | boom | 2\np.TestGone | c | 1 | boom | 2"))
			So(err, ShouldBeNil)
			So(checkFailures(result, known), ShouldNotBeNil)
		})
	})
	Convey("A test that never ended is a failure, even in a package with a known one", t, func() {
		result := newTestResults()
		crashLines := `{"Action":"run","Package":"p","Test":"TestCrash"}
{"Action":"output","Package":"p","Test":"TestCrash","Output":"panic: here\n"}
` + eventLines
		So(result.collect(strings.NewReader(crashLines)), ShouldBeNil)
		So(result.failed["p.TestCrash"], ShouldContainSubstring, "panic: here")
		known, err := parseKnownFailures(strings.NewReader("p.TestBad | go test p | 1 | boom | 2"))
		So(err, ShouldBeNil)
		So(checkFailures(result, known), ShouldNotBeNil)
	})
	Convey("Arguments are split into runs", t, func() {
		So(splitRuns([]string{"a", "---", "b", "c"}), ShouldResemble, [][]string{{"a"}, {"b", "c"}})
	})
	Convey("A line with a missing or empty field is an error", t, func() {
		_, err := parseKnownFailures(strings.NewReader("p.TestBad | c | 1 | boom"))
		So(err, ShouldNotBeNil)
		_, err = parseKnownFailures(strings.NewReader("p.TestBad | c |  | boom | 2"))
		So(err, ShouldNotBeNil)
	})
}
