package entry

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// routeOf returns the name of the route of a request and the target that is sent on; "" if
// no route matches.
func routeOf(routes *Routes, requestTarget string) (name, uri string, ok bool) {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + requestTarget + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
	if err != nil {
		return "", "", false
	}
	found, ok := routes.find(r)
	if !ok {
		return "", "", true
	}
	return found.route.name, found.uri, true
}

func splitRoutes(prefixes ...string) *Routes {
	config := &pb.Config{Services: []*pb.Service{{Name: "s"}}, RequestRoutesOnly: true}
	for _, prefix := range prefixes {
		config.RequestRoutes = append(config.RequestRoutes, &pb.RequestRoute{
			Name: prefix, Host: "a.example", PathPrefix: prefix, Services: []*pb.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	return NewRoutes(config, "")
}

// Guards against requests that run at the service of another route: the route was chosen by
// the decoded path, while the path is sent on as received (ROUTE).
func TestRequestTargets(t *testing.T) {
	routes := splitRoutes("/parts/", "/parts/orders/", "/caf%c3%a9/", "/a%2Fb/")
	for _, c := range []struct{ target, route, uri string }{
		{"/parts/orders/17", "/parts/orders/", "/parts/orders/17"},
		{"/parts/orders%2F17", "/parts/", "/parts/orders%2F17"},
		{"/parts%2Forders/17", "", ""},
		{"/parts/%6Frders/17", "/parts/orders/", "/parts/%6Frders/17"},
		{"/parts/orders/?q=/parts/x", "/parts/orders/", "/parts/orders/?q=/parts/x"},
		{"/parts?q=/parts/orders/", "", ""},
		{"//parts/orders/17", "", ""},
		{"/parts//orders/17", "/parts/", "/parts//orders/17"},
		{"/parts/a|b%7c", "/parts/", "/parts/a|b%7c"},
		{"/caf%C3%A9/1", "/caf%c3%a9/", "/caf%C3%A9/1"},
		{"/a%2fb/1", "/a%2Fb/", "/a%2fb/1"},
		{"/a/b/1", "", ""},
		{"http://a.example/parts/a|b%7c?x=%20|", "/parts/", "/parts/a|b%7c?x=%20|"},
		{"http://a.example/parts/orders%2F17", "/parts/", "/parts/orders%2F17"},
		{"http://a.example", "", ""},
	} {
		Convey("The target "+c.target+" selects the route of its own bytes and is sent on unchanged", t, func() {
			name, uri, ok := routeOf(routes, c.target)
			So(ok, ShouldBeTrue)
			So(name, ShouldEqual, c.route)
			if c.route != "" {
				So(uri, ShouldEqual, c.uri)
			}
		})
	}
	Convey("An absolute target without a path is sent on with one", t, func() {
		_, uri, _ := routeOf(splitRoutes("/"), "http://a.example?x=1")
		So(uri, ShouldEqual, "/?x=1")
		_, uri, _ = routeOf(splitRoutes("/"), "http://a.example")
		So(uri, ShouldEqual, "/")
	})
}

// FuzzTarget checks that the target sent on is the one received, and that the route chosen is
// that of the longest prefix of its path.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/parts/orders%2F17", "/parts/%6frders/1?a=/b", "http://a.example/parts/a|b", "//a.example/parts/", "/%", "/parts/%2e%2E/x", "*"} {
		f.Add(seed)
	}
	prefixes := []string{"/", "/parts/", "/parts/orders/", "/a%2Fb/"}
	routes := splitRoutes(prefixes...)
	f.Fuzz(func(t *testing.T, requestTarget string) {
		name, uri, ok := routeOf(routes, requestTarget)
		if !ok || strings.ContainsAny(requestTarget, " \r\n\t") || name == "" {
			return
		}
		if !strings.HasSuffix(requestTarget, strings.TrimPrefix(uri, "/")) || !strings.HasPrefix(uri, "/") {
			t.Fatalf("target %q was sent on as %q", requestTarget, uri)
		}
		path, _, _ := strings.Cut(uri, "?")
		want := ""
		for _, prefix := range prefixes {
			if hasPrefixSegments(path, prefix) {
				want = prefix
			}
		}
		if name != want {
			t.Fatalf("target %q selected route %q, expected %q", uri, name, want)
		}
	})
}

// hasPrefixSegments reports whether the segments of a path begin with those of a prefix
// that ends with a slash. Segments are compared decoded.
func hasPrefixSegments(path, prefix string) bool {
	segments := strings.Split(path, "/")
	for i, segment := range strings.Split(strings.TrimSuffix(prefix, "/"), "/") {
		if i+1 >= len(segments) {
			return false
		}
		decoded, err := url.PathUnescape(segments[i])
		want, _ := url.PathUnescape(segment)
		if err != nil || decoded != want {
			return false
		}
	}
	return true
}
