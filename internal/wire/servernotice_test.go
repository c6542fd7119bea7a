package wire

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server that is taken for warm because its cold time isn't understood,
// and against one that is taken for cold because it names a cold time only while it is
// cold.
func TestParseColdTime(t *testing.T) {
	names := DefaultHeaders()
	parse := func(value string) (time.Duration, bool) {
		return ParseColdTime(names, http.Header{HeaderColdTime: {value}})
	}
	Convey("Milliseconds are read, and everything else says nothing", t, func() {
		for value, expected := range map[string]time.Duration{
			"0": 0, "1500": 1500 * time.Millisecond, " 0.5 ": 500 * time.Microsecond, "1e300": time.Hour,
		} {
			coldFor, ok := parse(value)
			So(ok, ShouldBeTrue)
			So(coldFor, ShouldEqual, expected)
		}
		for _, value := range []string{"", "-1", "3s", "NaN"} {
			_, ok := parse(value)
			So(ok, ShouldBeFalse)
		}
		coldFor, ok := ParseColdTime(names, http.Header{})
		So(ok, ShouldBeTrue)
		So(coldFor, ShouldEqual, 0)
		_, ok = ParseColdTime(&Headers{}, http.Header{"": {"0"}})
		So(ok, ShouldBeFalse)
	})
}
