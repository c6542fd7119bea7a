package entry

import (
	"net/http"
	"strings"
)

// target is the request target of a request, read once: the route is chosen by the bytes
// that are sent on.
type target struct {
	// uri is the target in origin form, its bytes as received.
	uri string
	// path is the path of uri in the form in which paths are compared.
	path string
}

// targetOf returns the target of a request. Of one in absolute form only the scheme and the
// authority are cut off; net/http has made the latter the request's Host (RFC 9112, 3.2.2).
func targetOf(r *http.Request) target {
	uri := r.RequestURI
	if _, rest, ok := strings.Cut(uri, "://"); ok && !strings.HasPrefix(uri, "/") {
		uri = rest[authorityLength(rest):]
	}
	if uri == "" || uri[0] == '?' {
		uri = "/" + uri
	}
	path, _, _ := strings.Cut(uri, "?")
	return target{uri: uri, path: comparablePath(path)}
}

// authorityLength returns the length of the authority at the start of the rest of a URI.
func authorityLength(rest string) int {
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		return end
	}
	return len(rest)
}

// comparablePath returns the form in which two paths can be compared byte by byte (RFC 3986,
// 6.2.2): escapes of unreserved characters are decoded, the hex digits of all others are
// in upper case. An escaped slash remains a part of its segment.
func comparablePath(path string) string {
	if strings.IndexByte(path, '%') < 0 {
		return path
	}
	comparable := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' || i+2 >= len(path) || !isHex(path[i+1]) || !isHex(path[i+2]) {
			comparable = append(comparable, path[i])
			continue
		}
		if decoded := hexValue(path[i+1])<<4 | hexValue(path[i+2]); isUnreserved(decoded) {
			comparable = append(comparable, decoded)
		} else {
			comparable = append(comparable, '%', upper(path[i+1]), upper(path[i+2]))
		}
		i += 2
	}
	return string(comparable)
}

func isUnreserved(c byte) bool {
	return isAlpha(c) || isDigit(c) || strings.IndexByte("-._~", c) >= 0
}

func isAlpha(c byte) bool { return 'a' <= c|0x20 && c|0x20 <= 'z' }
func isDigit(c byte) bool { return '0' <= c && c <= '9' }
func isHex(c byte) bool   { return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'f' }

func hexValue(c byte) byte {
	if isDigit(c) {
		return c - '0'
	}
	return (c | 0x20) - 'a' + 10
}

func upper(c byte) byte {
	if isAlpha(c) {
		return c &^ 0x20
	}
	return c
}
