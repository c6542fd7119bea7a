package entry_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/egretfield/egretfield/internal/entry"
)

// collect returns counter values and histogram counts by name and attributes.
func collect(reader *metric.ManualReader) map[string]int64 {
	var data metricdata.ResourceMetrics
	if err := reader.Collect(context.Background(), &data); err != nil {
		panic(err)
	}
	values := map[string]int64{}
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			switch d := m.Data.(type) {
			case metricdata.Sum[int64]:
				for _, p := range d.DataPoints {
					values[m.Name+p.Attributes.Encoded(attribute.DefaultEncoder())] = p.Value
				}
			case metricdata.Histogram[float64]:
				for _, p := range d.DataPoints {
					values[m.Name+p.Attributes.Encoded(attribute.DefaultEncoder())] = int64(p.Count)
				}
			}
		}
	}
	return values
}

func TestMetrics(t *testing.T) {
	Convey("Answers, retries and cross-region bytes are counted, with a bounded number of label values", t, func() {
		reader := metric.NewManualReader()
		meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
		a := &countingServer{answer: echo}
		c := newCluster(func(o *entry.Options) { o.Meter, o.Region = meter, "here" }, a, http.HandlerFunc(echo))
		defer c.close()
		c.balancer.endpoints[0].Region = "there"
		c.balancer.endpoints[1].Region = "here"
		c.do("POST", "/svc/orders/x", "12345")
		a.answer = abort
		c.do("GET", "/svc/orders/x", "")
		c.do("POST", "/svc/orders/x", "")
		for range 3 {
			c.do("GET", "/svc/"+http.MethodGet+"/x", "")
		}
		values := collect(reader)
		So(values["egretfield.entry.answerskind=none,service=orders"], ShouldEqual, 2)
		So(values["egretfield.entry.answerskind=server_failed,service=orders"], ShouldEqual, 1)
		So(values["egretfield.entry.time_addedservice=orders"], ShouldEqual, 2)
		So(values["egretfield.entry.rejected"], ShouldEqual, 3)
		So(values["egretfield.entry.retries"], ShouldEqual, 1)
		So(values["egretfield.entry.cross_region_bytes"], ShouldEqual, len("12345")+len("POST /x 12345"))
	})
}
