package entry

import (
	"strings"
	"testing"
)

// FuzzAuthorization guards against a key that survives in the forwarded values, and against
// one that is misread, whatever a caller sends.
func FuzzAuthorization(f *testing.F) {
	f.Add("Bearer key", "Basic eDp5")
	f.Add("bearer\tkey", "Bearer other")
	f.Add("Basic eDp5, Bearer key", "")
	f.Add("Bearer:key", "Digest username=\"x\", realm=\"Bearer y\"")
	f.Add(" ,Bearer", "BEARER  a b")
	f.Fuzz(func(t *testing.T, first, second string) {
		key, other := readAuthorization([]string{first, second})
		for _, value := range other {
			for _, part := range strings.Split(value, ",") {
				words := strings.FieldsFunc(part, func(r rune) bool { return !isSchemeLetter(r) })
				if len(words) > 0 && strings.EqualFold(words[0], "bearer") && strings.HasPrefix(strings.TrimLeft(part, " \t"), words[0]) {
					t.Fatalf("%q is forwarded", value)
				}
			}
		}
		if key != "" && !strings.HasSuffix(strings.TrimRight(first, " \t"), key) && !strings.HasSuffix(strings.TrimRight(second, " \t"), key) {
			t.Fatalf("got the key %q of %q and %q", key, first, second)
		}
		// What a well-formed request carries is read back.
		sent := strings.Map(func(r rune) rune {
			if r <= ' ' || r > '~' || r == ',' {
				return -1
			}
			return r
		}, first)
		if sent == "" {
			return
		}
		if key, other := readAuthorization([]string{"Bearer " + sent}); key != sent || len(other) > 0 {
			t.Fatalf("got the key %q and %q, expected %q", key, other, sent)
		}
	})
}
