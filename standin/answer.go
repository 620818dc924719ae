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

// Headers between the caller and the worker, which everything on the way must
// pass on untouched.
const (
	headerToken       = "X-Token"
	headerSend        = "X-Send"
	headerAnswerBytes = "X-Answer-Bytes"
	headerAnswerSum   = "X-Answer-Sum"
	headerBodySum     = "X-Body-Sum"
	headerWork        = "X-Work-Us"
	headerCrash       = "X-Crash"
	headerWorker      = "X-Worker"
	headerHeld        = "X-Held-Us"
)

// Errors of an answer that is not the one asked for.
var (
	ErrForeignAnswer = errors.New("answer to another request")
	ErrChangedBody   = errors.New("worker received another body")
	ErrBrokenAnswer  = errors.New("answer damaged or cut short")
)

// filler is a reader of bytes that follow from a name, so that bytes of two
// requests never look alike. The generator is SplitMix64 (Steele, Lea and
// Flood, OOPSLA 2014).
type filler struct {
	state uint64
	left  int
	word  [8]byte
	used  int
}

// newFiller returns n bytes that follow from name.
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

// next draws the next eight bytes.
func (f *filler) next() {
	f.state += 0x9e3779b97f4a7c15
	z := f.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	binary.LittleEndian.PutUint64(f.word[:], z^z>>31)
	f.used = 0
}

// sumOf returns the xxhash of what r gives, in hexadecimal.
func sumOf(r io.Reader) (string, int64, error) {
	h := xxhash.New()
	n, err := io.Copy(h, r)
	return hexSum(h.Sum64()), n, err
}

func hexSum(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// answerBody returns the body that answers a request: a line with the token,
// the checksum of the request's body and the count of filler bytes, then the
// filler.
func answerBody(token, bodySum string, n int) io.Reader {
	line := token + " " + bodySum + " " + strconv.Itoa(n) + "\n"
	return io.MultiReader(bytes.NewReader([]byte(line)), newFiller(token, n))
}

// answerSize returns the length of answerBody.
func answerSize(token, bodySum string, n int) int {
	return len(token) + len(bodySum) + len(strconv.Itoa(n)) + 3 + n
}

// checkAnswer verifies that an answer is whole and belongs to the request with
// this token, body checksum and wanted filler.
func checkAnswer(body []byte, sum, token, bodySum string, n int) error {
	line, _, found := bytes.Cut(body, []byte("\n"))
	fields := bytes.Fields(line)
	switch {
	case !found || len(fields) != 3:
		return fmt.Errorf("first line: %w", ErrBrokenAnswer)
	case string(fields[0]) != token:
		return fmt.Errorf("token %q for %q: %w", fields[0], token, ErrForeignAnswer)
	case string(fields[1]) != bodySum:
		return fmt.Errorf("checksum %s for %s: %w", fields[1], bodySum, ErrChangedBody)
	case hexSum(xxhash.Sum64(body)) != sum:
		return fmt.Errorf("checksum header: %w", ErrBrokenAnswer)
	}
	want, size, err := sumOf(answerBody(token, bodySum, n))
	if err != nil || want != sum || int(size) != len(body) {
		return fmt.Errorf("%d of %d bytes: %w", len(body), size, ErrBrokenAnswer)
	}
	return nil
}
