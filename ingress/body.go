package ingress

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
)

var (
	// ErrShortBody means that the caller ended the body before its length.
	ErrShortBody = merry.Sentinel("ingress: request body cut short", merry.WithValue(reasonKey, call.ShortBody))
	// ErrLongBody means that the body is longer than its service allows.
	ErrLongBody = merry.Sentinel("ingress: request body too long", merry.WithValue(reasonKey, call.BodyTooLarge))
)

// HeldBytes is the longest request body that is held whole, so that it can be
// sent again when an upstream refuses it.
const HeldBytes = 1 << 20

// Body is the body of a request: held whole when it is short, else a stream
// that can be read once.
type Body struct {
	held   []byte
	stream io.Reader
	length int
	// source is the stream as it was last put on a request.
	source *exchange.Source
}

// ReadBody holds up to HeldBytes of the request's body. A held body
// is known to be whole; one cut short is refused here, before anything ran.
// maxBytes bounds the whole body where its length is stated.
func ReadBody(ctx *fasthttp.RequestCtx, maxBytes int64) (*Body, error) {
	length := ctx.Request.Header.ContentLength()
	if int64(length) > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", ErrLongBody, length, maxBytes)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return &Body{held: ctx.Request.Body(), length: len(ctx.Request.Body())}, nil
	}
	if length > HeldBytes {
		return &Body{stream: stream, length: length}, nil
	}
	held, err := io.ReadAll(io.LimitReader(stream, HeldBytes+1))
	if err != nil || (length >= 0 && len(held) < length) {
		return nil, fmt.Errorf("%w: %d bytes came", ErrShortBody, len(held))
	}
	if len(held) <= HeldBytes {
		return &Body{held: held, length: len(held)}, nil
	}
	rest := &bounded{reader: io.MultiReader(bytes.NewReader(held), stream), left: maxBytes}
	return &Body{stream: rest, length: -1}, nil
}

// Replayable reports whether the body can be sent again.
func (b *Body) Replayable() bool { return b.stream == nil }

// Len returns the length of the body, or 0 when it is not known yet.
func (b *Body) Len() int { return max(b.length, 0) }

// Taken reports whether any of a stream may have been read.
func (b *Body) Taken() bool { return b.source != nil && b.source.Taken() }

// Put sets the body on a request to elsewhere. A stream can be put again while
// none of it has been taken.
func (b *Body) Put(req *fasthttp.Request) {
	if b.stream == nil {
		req.SetBodyRaw(b.held)
		return
	}
	b.source = exchange.NewSource(b.stream, b.length)
	req.SetBodyStream(b.source, b.length)
}

// Reserve lets the receiver decide before it is sent a long body: a request that
// is refused can then be sent elsewhere. The length has to be known.
func (b *Body) Reserve(req *fasthttp.Request) {
	if b.stream != nil && b.length > 0 {
		req.Header.Set("Expect", "100-continue")
	}
}

// Fingerprint tells the request apart from others: by its method, path and
// body, or the body's length where the body is a stream.
func Fingerprint(h *fasthttp.RequestHeader, caller string, b *Body) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(caller), h.Method(), h.Host(), h.RequestURI()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	if b.stream != nil {
		_, _ = d.WriteString(strconv.Itoa(b.length))
		return d.Sum64()
	}
	_, _ = d.Write(b.held)
	return d.Sum64()
}

// bounded fails a body of unknown length that turns out too long.
type bounded struct {
	reader io.Reader
	left   int64
}

// Read reads on while the bound allows.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, ErrLongBody
	}
	return n, err
}
