package registry

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// readBody reads a streamed response completely, up to maxValueBytes.
func readBody(resp *fasthttp.Response) error {
	if !resp.IsBodyStream() {
		return nil
	}
	body, err := exchange.ReadBody(resp, maxValueBytes)
	switch {
	case errors.Is(err, exchange.ErrTooLong):
		return fmt.Errorf("%w: %w", ErrBadResponse, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp.SetBodyRaw(body)
	return nil
}
