package registry

import (
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
)

// hold reads a streamed answer whole, up to the longest value there can be.
func hold(resp *fasthttp.Response) error {
	if !resp.IsBodyStream() {
		return nil
	}
	body, err := exchange.Whole(resp, maxValueBytes)
	switch {
	case errors.Is(err, exchange.ErrTooLong):
		return fmt.Errorf("%w: %w", ErrAnswer, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	resp.SetBodyRaw(body)
	return nil
}
