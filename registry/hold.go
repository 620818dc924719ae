package registry

import (
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// hold reads a streamed answer whole, up to the longest value there can be.
func hold(resp *fasthttp.Response) error {
	if !resp.IsBodyStream() {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxValueBytes+1))
	_ = resp.CloseBodyStream()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(body) > maxValueBytes {
		return fmt.Errorf("%w: longer than %d bytes", ErrAnswer, maxValueBytes)
	}
	resp.SetBodyRaw(body)
	return nil
}
