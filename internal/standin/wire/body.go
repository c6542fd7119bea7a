package wire

import (
	"hash"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// patternSize is the length in bytes of the pattern that fills bodies.
const patternSize = 32 << 10

// pattern is repeated to fill a body after the operation's name.
var pattern = makePattern()

func makePattern() []byte {
	p := make([]byte, patternSize)
	state := uint32(1)
	for i := range p {
		state = state*1664525 + 1013904223
		p[i] = byte(state >> 24)
	}
	return p
}

// Body is a generated request or answer body of Size bytes, which begins with the
// operation's name.
type Body struct {
	Op   string
	Size int64
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	name := b.Op[:min(int64(len(b.Op)), b.Size)]
	n, err := io.WriteString(w, name)
	written += int64(n)
	for err == nil && written < b.Size {
		n, err = w.Write(pattern[:min(b.Size-written, patternSize)])
		written += int64(n)
	}
	return written, err
}

// Hash returns the xxhash of the body.
func (b Body) Hash() uint64 {
	digest := xxhash.New()
	_, _ = b.WriteTo(digest)
	return digest.Sum64()
}

// Reader returns a reader of the body.
func (b Body) Reader() io.Reader {
	return &bodyReader{body: b}
}

type bodyReader struct {
	body   Body
	offset int64
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if r.offset >= r.body.Size {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.body.Size-r.offset)]
	n := 0
	if name := int64(len(r.body.Op)); r.offset < name {
		n = copy(p, r.body.Op[r.offset:])
	} else {
		n = copy(p, pattern[(r.offset-name)%patternSize:])
	}
	r.offset += int64(n)
	return n, nil
}

// SetHeaders sets the headers by which the receiver verifies the body.
func (b Body) SetHeaders(header http.Header) {
	header.Set(HeaderLength, strconv.FormatInt(b.Size, 10))
	header.Set(HeaderHash, FormatHash(b.Hash()))
}

// FormatHash formats a hash for HeaderHash.
func FormatHash(sum uint64) string {
	return strconv.FormatUint(sum, 16)
}

// Check reads body to its end and verifies it against the headers that describe it. It
// returns the length read; buffer is scratch space.
func Check(header http.Header, body io.Reader, buffer []byte) (int64, error) {
	digest := xxhash.New()
	length, err := hashBody(digest, body, buffer)
	if err != nil {
		return length, err
	}
	if want := header.Get(HeaderLength); want != strconv.FormatInt(length, 10) {
		return length, eris.Errorf("body has %d bytes, its header says %q", length, want)
	}
	if want := header.Get(HeaderHash); want != FormatHash(digest.Sum64()) {
		return length, eris.New("body doesn't match its hash")
	}
	return length, nil
}

// hashBody reads body to its end, adds it to digest and returns its length.
func hashBody(digest hash.Hash, body io.Reader, buffer []byte) (int64, error) {
	length := int64(0)
	for {
		n, err := body.Read(buffer)
		digest.Write(buffer[:n])
		length += int64(n)
		if err == io.EOF {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}
