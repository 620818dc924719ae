package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/memory"
)

const (
	// progressBytes is how much must arrive of a body to count as progress, so that single
	// bytes don't keep it from being ended.
	progressBytes = 4 << 10
	// minPartBytes and maxPartBytes are the least and the most by which the memory for a body
	// of unknown length grows.
	minPartBytes = 4 << 10
	maxPartBytes = 64 << 10
)

// readKnown reads a body of a known length. Its memory is reserved before any of it is read.
func readKnown(body io.Reader, length int, t *Transfer) ([]byte, error) {
	if !t.reserve(memory.Bodies, length) {
		return nil, fmt.Errorf("%w: no room for a body of %d bytes", ErrOverloaded, length)
	}
	buffered := make([]byte, length)
	n, err := io.ReadFull(body, buffered)
	if err != nil {
		return nil, bodyError(err, n, t)
	}
	return buffered, nil
}

// readUnknown reads a body of unknown length, up to its end or to a little more than
// MaxBufferedBytes. Its memory is reserved while it grows, in parts that are not moved: a
// buffer that doubles would leave as much garbage as it holds.
func readUnknown(body io.Reader, t *Transfer) (parts [][]byte, length int, err error) {
	for size := minPartBytes; length <= MaxBufferedBytes; size = min(2*size, maxPartBytes) {
		if !t.reserve(memory.Bodies, size) {
			return nil, 0, fmt.Errorf("%w: no room for more than %d bytes of the body", ErrOverloaded, length)
		}
		part, err := readPart(body, make([]byte, size))
		length += len(part)
		parts = append(parts, part)
		if errors.Is(err, io.EOF) {
			return parts, length, nil
		}
		if err != nil {
			return nil, 0, bodyError(err, length, t)
		}
	}
	return parts, length, nil
}

// readPart reads until the buffer is full or the body ends, and returns what was read.
func readPart(body io.Reader, buffer []byte) ([]byte, error) {
	filled := 0
	for filled < len(buffer) {
		n, err := body.Read(buffer[filled:])
		filled += n
		if err != nil {
			return buffer[:filled], err
		}
	}
	return buffer, nil
}

// joinParts returns a body in one piece.
func joinParts(parts [][]byte, length int, t *Transfer) ([]byte, error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	if !t.reserve(memory.Bodies, length) {
		return nil, fmt.Errorf("%w: no room for a body of %d bytes", ErrOverloaded, length)
	}
	joined := bytes.Join(parts, nil)
	for _, part := range parts {
		t.release(memory.Bodies, cap(part))
	}
	return joined, nil
}

// bodyError returns the error for a body of which only n bytes could be read.
func bodyError(err error, n int, t *Transfer) error {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrOverloaded) || t.ended():
		return fmt.Errorf("%w: the body made no progress after %d bytes", ErrOverloaded, n)
	case errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %d bytes came", ErrLateBody, n)
	}
	return fmt.Errorf("%w: %d bytes came", ErrShortBody, n)
}

// DiscardBody reads what is left of a body that is not needed, until a given time. A
// connection closed with unread bytes is reset, and the sender may then not get its answer.
func DiscardBody(ctx *fasthttp.RequestCtx, until time.Time) {
	if stream := ctx.RequestBodyStream(); stream != nil {
		_ = ctx.Conn().SetReadDeadline(until)
		_, _ = io.CopyN(io.Discard, stream, MaxBufferedBytes)
	}
}

// bodyReader reads a request body and records its progress.
type bodyReader struct {
	stream   io.Reader
	transfer *Transfer
	// streamed is true if the body is read as it is sent on. Between two reads it is then the
	// receiver that has to make progress.
	streamed bool
	// unrecorded is how many bytes have arrived since progress was last recorded.
	unrecorded int
}

// Read reads from the body.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.streamed {
		r.transfer.readBody()
	}
	n, err := r.stream.Read(p)
	if r.unrecorded += n; r.unrecorded >= progressBytes {
		r.unrecorded = 0
		r.transfer.progress()
	}
	if (r.streamed || errors.Is(err, io.EOF)) && !r.transfer.bodyRead() {
		return n, ErrOverloaded
	}
	return n, err
}

// discardTrailers calls read and discards the trailer fields after a body of unknown length,
// which fasthttp adds to the headers of the request. They could pass for headers
// (RFC 9110, section 6.5.1).
func discardTrailers(h *fasthttp.RequestHeader, read func() error) error {
	var head fasthttp.RequestHeader
	h.CopyTo(&head)
	defer head.CopyTo(h)
	return read()
}
