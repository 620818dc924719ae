package exchange

import (
	"bufio"
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
)

// maxStatus is the highest status of a response (RFC 9110, section 15).
const maxStatus = 599

// readHead reads the head of the final response and discards interim ones.
func readHead(c *conn, resp *fasthttp.Response) error {
	for range maxResponseHeads {
		final, err := readOneHead(c, resp)
		if final || err != nil {
			return err
		}
	}
	return errTooManyInterim
}

// readOneHead reads the next head and reports whether it is that of a final response. Its
// error is ErrInvalidStatus for a status that no response may have. The parser accepts any
// three digits; a switch to another protocol is never asked for.
func readOneHead(c *conn, resp *fasthttp.Response) (final bool, err error) {
	zero := zeroStatusNext(c.reader)
	if err := resp.Header.Read(c.reader); err != nil {
		return false, fmt.Errorf("read response head: %w", err)
	}
	if zero {
		// The library returns 200 for the status 0.
		resp.SetStatusCode(1)
	}
	status := resp.StatusCode()
	if status < fasthttp.StatusContinue || status == fasthttp.StatusSwitchingProtocols || status > maxStatus {
		return false, fmt.Errorf("%w: %03d", ErrInvalidStatus, status)
	}
	return status >= fasthttp.StatusOK, nil
}

// zeroStatusNext reports whether the next head has the status 000. It waits for the first
// line and consumes nothing.
func zeroStatusNext(r *bufio.Reader) bool {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return false
		}
		text, _ := r.Peek(r.Buffered())
		for {
			line, rest, complete := bytes.Cut(text, []byte("\n"))
			if !complete {
				break
			}
			if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 {
				_, status, _ := bytes.Cut(line, []byte(" "))
				status, _, _ = bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
				return string(status) == "000"
			}
			text = rest
		}
	}
}
