package standin

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers between the caller and the worker, which every hop must forward
// unchanged.
const (
	headerToken       = "X-Token"
	headerSend        = "X-Send"
	headerAnswerBytes = "X-Answer-Bytes"
	headerAnswerSum   = "X-Answer-Sum"
	headerBodySum     = "X-Body-Sum"
	headerWorkUs      = "X-Work-Us"
	headerCrash       = "X-Crash"
	headerWorker      = "X-Worker"
	headerHeldUs      = "X-Held-Us"
)

// Errors returned when a response does not match its request.
var (
	ErrResponseMismatch    = errors.New("response belongs to another request")
	ErrRequestBodyMismatch = errors.New("worker received a different request body")
	ErrDamagedResponse     = errors.New("response damaged or truncated")
)

// filler is a reader of pseudo-random bytes seeded by a name, so that the bytes
// of two requests differ. The generator is SplitMix64 (Steele, Lea and Flood,
// OOPSLA 2014).
type filler struct {
	state uint64
	left  int
	word  [8]byte
	used  int
}

// newFiller returns a reader of n bytes seeded by name.
func newFiller(name string, n int) *filler {
	return &filler{state: xxhash.Sum64String(name), left: n, used: 8}
}

// Read fills p with the next bytes.
func (f *filler) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), f.left)
	for i := 0; i < n; {
		if f.used == 8 {
			f.next()
		}
		k := copy(p[i:n], f.word[f.used:])
		f.used += k
		i += k
	}
	f.left -= n
	return n, nil
}

// next generates the next eight bytes.
func (f *filler) next() {
	f.state += 0x9e3779b97f4a7c15
	z := f.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	binary.LittleEndian.PutUint64(f.word[:], z^z>>31)
	f.used = 0
}

// checksum returns the xxhash of all data read from r, in hexadecimal, and its
// length.
func checksum(r io.Reader) (string, int64, error) {
	h := xxhash.New()
	n, err := io.Copy(h, r)
	return hexSum(h.Sum64()), n, err
}

func hexSum(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// responseBody returns the body of the response to a request: a line with the
// token, the checksum of the request body and the number n of filler bytes,
// followed by the filler.
func responseBody(token, bodySum string, n int) io.Reader {
	line := token + " " + bodySum + " " + strconv.Itoa(n) + "\n"
	return io.MultiReader(bytes.NewReader([]byte(line)), newFiller(token, n))
}

// responseSize returns the length of responseBody in bytes.
func responseSize(token, bodySum string, n int) int {
	return len(token) + len(bodySum) + len(strconv.Itoa(n)) + 3 + n
}

// checkResponseBody verifies that a response body is complete and belongs to the
// request with this token, body checksum and number n of filler bytes.
func checkResponseBody(body []byte, sum, token, bodySum string, n int) error {
	line, _, found := bytes.Cut(body, []byte("\n"))
	fields := bytes.Fields(line)
	switch {
	case !found || len(fields) != 3:
		return fmt.Errorf("parse first line: %w", ErrDamagedResponse)
	case string(fields[0]) != token:
		return fmt.Errorf("token %q, want %q: %w", fields[0], token, ErrResponseMismatch)
	case string(fields[1]) != bodySum:
		return fmt.Errorf("request body checksum %s, want %s: %w", fields[1], bodySum, ErrRequestBodyMismatch)
	case hexSum(xxhash.Sum64(body)) != sum:
		return fmt.Errorf("verify checksum header: %w", ErrDamagedResponse)
	}
	want, size, err := checksum(responseBody(token, bodySum, n))
	if err != nil || want != sum || int(size) != len(body) {
		return fmt.Errorf("response of %d bytes, want %d: %w", len(body), size, ErrDamagedResponse)
	}
	return nil
}
