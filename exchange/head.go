package exchange

import (
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
// error wraps ErrInvalidHead for a head that no response may have. The parser accepts any
// three digits as the status; a switch to another protocol is never asked for.
func readOneHead(c *conn, resp *fasthttp.Response) (final bool, err error) {
	checked, err := checkNextHead(c.reader)
	if err != nil {
		return false, fmt.Errorf("check response head: %w", err)
	}
	if err := resp.Header.Read(c.reader); err != nil {
		return false, fmt.Errorf("%w: %w", ErrInvalidHead, err)
	}
	if checked.zeroStatus {
		// The library returns 200 for the status 0.
		resp.SetStatusCode(1)
	}
	status := resp.StatusCode()
	if status < fasthttp.StatusContinue || status == fasthttp.StatusSwitchingProtocols || status > maxStatus {
		return false, fmt.Errorf("%w: %w: %03d", ErrInvalidHead, ErrInvalidStatus, status)
	}
	return status >= fasthttp.StatusOK, nil
}
