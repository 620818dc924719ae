package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	errLineEnd     = errors.New("a line does not end with CRLF")
	errVersion     = errors.New("the version is neither HTTP/1.0 nor HTTP/1.1")
	errCoding      = errors.New("an HTTP/1.0 response has a transfer coding")
	errControlByte = errors.New("the status line has a control byte")
	errNoColon     = errors.New("a header line has no colon")
	errFieldName   = errors.New("a field name is no token")
)

// headCheck checks the lines of a response head in their order (RFC 9112, sections 2.2 and
// 5). The parser itself accepts blanks in a field name, and appends a line that begins with
// a blank to the one before; either may hide the length of the body. It also accepts control
// bytes in the status line, which a strict client refuses.
type headCheck struct {
	// length is the number of bytes in the lines so far.
	length int
	// started is set by the status line, and ended by the empty line after the fields.
	started, ended bool
	// oldVersion is set if the version is HTTP/1.0.
	oldVersion bool
	// zeroStatus is set if the status is 000.
	zeroStatus bool
}

// checkNextHead waits for the next head and checks it. It consumes nothing. Its error wraps
// ErrInvalidHead, or is that of the reader.
func checkNextHead(r *bufio.Reader) (headCheck, error) {
	var h headCheck
	for !h.ended {
		line, err := peekLine(r, h.length)
		if errors.Is(err, bufio.ErrBufferFull) {
			return h, fmt.Errorf("%w: longer than %d bytes", ErrInvalidHead, r.Size())
		}
		if err != nil {
			return h, fmt.Errorf("wait for a line: %w", err)
		}
		if err := h.add(line); err != nil {
			return h, fmt.Errorf("%w: %w", ErrInvalidHead, err)
		}
	}
	return h, nil
}

// peekLine waits for the line after the first skip bytes of r, and returns it with its line
// feed. It consumes nothing.
func peekLine(r *bufio.Reader, skip int) ([]byte, error) {
	for searched := skip; ; {
		text, _ := r.Peek(r.Buffered())
		if n := bytes.IndexByte(text[searched:], '\n'); n >= 0 {
			return text[skip : searched+n+1], nil
		}
		searched = len(text)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// add checks the next line, which ends with a line feed.
func (h *headCheck) add(line []byte) error {
	h.length += len(line)
	text, hasCRLF := bytes.CutSuffix(line, []byte("\r\n"))
	empty := string(line) == "\r\n" || string(line) == "\n"
	switch {
	case empty && !h.started:
		// The parser skips empty lines before the status line.
		return nil
	case !hasCRLF:
		return errLineEnd
	case !h.started:
		return h.addStatusLine(text)
	case empty:
		h.ended = true
		return nil
	}
	return h.addField(text)
}

// addStatusLine checks a status line, and leaves the digits of the status to the parser.
func (h *headCheck) addStatusLine(line []byte) error {
	h.started = true
	if bytes.ContainsFunc(line, isControl) {
		return fmt.Errorf("%w: %.40q", errControlByte, line)
	}
	version, status, _ := bytes.Cut(line, []byte(" "))
	h.oldVersion = string(version) == "HTTP/1.0"
	if !h.oldVersion && string(version) != "HTTP/1.1" {
		return fmt.Errorf("%w: %.40q", errVersion, version)
	}
	status, _, _ = bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	h.zeroStatus = string(status) == "000"
	return nil
}

// isControl reports whether a character is a control character other than the tab, which alone
// may be part of a reason phrase (RFC 9112, section 4).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }

// addField checks a field. A line that continues the one before (obsolete line folding) has
// an invalid name, too.
func (h *headCheck) addField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return fmt.Errorf("%w: %.40q", errNoColon, line)
	case !isToken(name):
		return fmt.Errorf("%w: %.40q", errFieldName, name)
	case h.oldVersion && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding):
		// The parser takes the chunks for the body (RFC 9112, section 6.1).
		return errCoding
	}
	return nil
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(text) > 0
}

// isTokenByte reports whether a token may contain a byte.
func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
