package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
)

const (
	// tokenPurpose keeps tokens distinct from other values derived from the shared key.
	tokenPurpose = "egretfield gate"
	// tokenBytes is the length of a token before hex encoding.
	tokenBytes = 16
)

// PeerToken derives from the shared key the token that a node presents to the gates of
// other nodes, so that callers can't bypass an entry.
func PeerToken(sharedKey []byte) string {
	mac := hmac.New(sha256.New, sharedKey)
	mac.Write([]byte(tokenPurpose))
	return hex.EncodeToString(mac.Sum(nil)[:tokenBytes])
}

// HasToken reports whether a request presents the token. It is always true if token is
// empty.
func HasToken(r *http.Request, token string) bool {
	presented := r.Header.Get(HeaderPeer)
	return token == "" || subtle.ConstantTimeCompare([]byte(presented), []byte(token)) == 1
}
