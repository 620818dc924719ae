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
	// ErrShortBody means that the caller ended the body before its stated length.
	ErrShortBody = merry.Sentinel("ingress: request body cut short", merry.WithValue(reasonKey, call.ShortBody))
	// ErrLateBody means that the body was not complete in time.
	ErrLateBody = merry.Sentinel("ingress: request body late", merry.WithValue(reasonKey, call.BodyLate))
	// ErrOverloaded means that there is no room for the request.
	ErrOverloaded = merry.Sentinel("ingress: too little memory", merry.WithValue(reasonKey, call.Overloaded))
	// ErrLongBody means that the body is longer than its service allows.
	ErrLongBody = merry.Sentinel("ingress: request body too long", merry.WithValue(reasonKey, call.BodyTooLarge))
)

// MaxBufferedBytes is the length up to which a request body is buffered, so that it
// can be sent again when an upstream refuses it.
const MaxBufferedBytes = 1 << 20

// Body is the body of a request: buffered if it is short, otherwise a stream that can
// be read once.
type Body struct {
	buffered []byte
	stream   io.Reader
	length   int
	// source wraps the stream on the request that it was last set on.
	source *exchange.Source
}

// ReadBody reads a body of up to MaxBufferedBytes into memory. Such a body is known to
// be complete: one cut short is rejected here, before anything ran. maxBytes limits
// the stated length, and what is read of a stream of unknown length. The caller sets the
// time until which the body must have arrived on the connection.
func ReadBody(ctx *fasthttp.RequestCtx, maxBytes int64) (*Body, error) {
	length := ctx.Request.Header.ContentLength()
	if int64(length) > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes of at most %d", ErrLongBody, length, maxBytes)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return &Body{buffered: ctx.Request.Body(), length: len(ctx.Request.Body())}, nil
	}
	t := transferOf(ctx)
	reader := &bodyReader{stream: stream, transfer: t}
	if length > MaxBufferedBytes {
		reader.streamed = true
		return &Body{stream: reader, length: length}, nil
	}
	t.readBody()
	if length >= 0 {
		buffered, err := readKnown(reader, length, t)
		if err != nil {
			return nil, err
		}
		return &Body{buffered: buffered, length: length}, nil
	}
	return readChunked(&ctx.Request.Header, reader, maxBytes)
}

// readChunked reads a body of unknown length.
func readChunked(h *fasthttp.RequestHeader, reader *bodyReader, maxBytes int64) (*Body, error) {
	var parts [][]byte
	length := 0
	err := discardTrailers(h, func() (err error) {
		parts, length, err = readUnknown(reader, reader.transfer)
		return err
	})
	if err != nil {
		return nil, err
	}
	if length > MaxBufferedBytes {
		// It waits for its upstream first, which is not a lack of progress.
		if !reader.transfer.bodyRead() {
			return nil, fmt.Errorf("%w: the body made no progress after %d bytes", ErrOverloaded, length)
		}
		reader.streamed = true
		readers := make([]io.Reader, 0, len(parts)+1)
		for _, part := range parts {
			readers = append(readers, bytes.NewReader(part))
		}
		limited := &limitedBody{reader: io.MultiReader(append(readers, reader)...), remaining: maxBytes}
		return &Body{stream: limited, length: -1}, nil
	}
	buffered, err := joinParts(parts, length, reader.transfer)
	if err != nil {
		return nil, err
	}
	return &Body{buffered: buffered, length: length}, nil
}

// Replayable reports whether the body can be sent again.
func (b *Body) Replayable() bool { return b.stream == nil }

// Len returns the length of the body, or 0 if it is unknown.
func (b *Body) Len() int { return max(b.length, 0) }

// Consumed reports whether any of the stream may have been read.
func (b *Body) Consumed() bool { return b.source != nil && b.source.Consumed() }

// SetOn sets the body on an outgoing request. A stream can be set again as long as none
// of it has been read.
func (b *Body) SetOn(req *fasthttp.Request) {
	if b.stream == nil {
		req.SetBodyRaw(b.buffered)
		return
	}
	b.source = exchange.NewSource(b.stream, b.length)
	req.SetBodyStream(b.source, b.length)
}

// ExpectContinue lets the receiver decide before a long body is sent, so that a refused
// request can be sent elsewhere. The length must be known.
func (b *Body) ExpectContinue(req *fasthttp.Request) {
	if b.stream != nil && b.length > 0 {
		req.Header.Set("Expect", "100-continue")
	}
}

// Fingerprint hashes the caller, method, host, URI and body of a request, to tell it
// apart from others. A streamed body is represented by its length.
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
	_, _ = d.Write(b.buffered)
	return d.Sum64()
}

// limitedBody is a body of unknown length that fails when it exceeds its limit.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

// Read reads from the body, and returns ErrLongBody once the limit is exceeded.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, ErrLongBody
	}
	return n, err
}
