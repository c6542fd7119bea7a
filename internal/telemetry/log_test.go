package telemetry

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

func TestLogger(t *testing.T) {
	Convey("Given a logger at level info", t, func() {
		var out bytes.Buffer
		logger, level, err := NewLogger(&out, FormatJSON, "info")
		So(err, ShouldBeNil)

		Convey("an error is logged in one line without a stack trace", func() {
			logger.With(zap.Error(eris.New("first"))).Info("changed", zap.Error(eris.New("second")))
			So(out.String(), ShouldContainSubstring, `"second"`)
			So(out.String(), ShouldNotContainSubstring, "errorVerbose")
		})
		Convey("its level can be changed at run time", func() {
			logger.Debug("hidden")
			level.SetLevel(zap.DebugLevel)
			logger.Debug("shown")
			So(out.String(), ShouldNotContainSubstring, "hidden")
			So(out.String(), ShouldContainSubstring, "shown")
		})
	})
	Convey("Unknown formats and levels are errors", t, func() {
		_, _, err := NewLogger(nil, "xml", "info")
		So(err, ShouldNotBeNil)
		_, _, err = NewLogger(nil, FormatJSON, "loud")
		So(err, ShouldNotBeNil)
	})
}

func TestMetrics(t *testing.T) {
	Convey("A counter appears in the Prometheus text format", t, func() {
		metrics, err := NewMetrics()
		So(err, ShouldBeNil)
		counter, err := metrics.Meter().Int64Counter("egretfield.things")
		So(err, ShouldBeNil)
		counter.Add(t.Context(), 3)
		w := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		So(w.Body.String(), ShouldContainSubstring, "egretfield_things_total 3")
	})
}
