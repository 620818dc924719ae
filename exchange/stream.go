package exchange

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Source is a request body that records its own failure. With a Source as the body
// stream of a request, Do can tell a caller that stopped sending from a broken
// connection.
type Source struct {
	reader    io.Reader
	remaining int
	started   bool
	err       error
}

// NewSource returns a Source that reads length bytes from r, or up to the end of r
// when length is negative.
func NewSource(r io.Reader, length int) *Source {
	return &Source{reader: r, remaining: length}
}

// Read reads from the body and records its first error. An end before the stated
// length is io.ErrUnexpectedEOF.
func (s *Source) Read(p []byte) (int, error) {
	s.started = true
	n, err := s.reader.Read(p)
	if s.remaining >= 0 {
		s.remaining -= min(n, s.remaining)
		if errors.Is(err, io.EOF) && s.remaining > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil && !errors.Is(err, io.EOF) && s.err == nil {
		s.err = err
	}
	return n, err
}

// Consumed reports whether any of the body may have been read.
func (s *Source) Consumed() bool { return s.started }

// responseStream is the body of a response that is still on its connection.
type responseStream struct {
	inner *fasthttp.Response
	done  func(whole bool)
	ended bool
	// err is the first error. A writer of chunks ignores an error that comes with bytes,
	// and reads again.
	err error
}

// Read reads from the body, and returns the connection to the pool at its end. After an
// error it returns that again.
func (s *responseStream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if s.ended {
		return 0, io.EOF
	}
	n, err := s.inner.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		s.end(true)
		return n, io.EOF
	}
	if err != nil {
		s.err = fmt.Errorf("%w while streaming the body: %w", ErrResponseLost, err)
	}
	return n, s.err
}

// Close ends the response early, which closes the connection.
func (s *responseStream) Close() error {
	s.end(false)
	return nil
}

func (s *responseStream) end(whole bool) {
	if s.ended {
		return
	}
	s.ended = true
	_ = s.inner.CloseBodyStream()
	fasthttp.ReleaseResponse(s.inner)
	s.done(whole)
}

// ReadBody returns the complete body of a response, reading it if it is a stream. Its
// error wraps ErrTooLong if a stream has more than maxBytes bytes; otherwise it is the
// read error.
func ReadBody(resp *fasthttp.Response, maxBytes int) ([]byte, error) {
	return ReadBodyProgress(resp, maxBytes, func() {})
}

// ReadBodyProgress is like ReadBody, and calls progress each time bytes have arrived.
func ReadBodyProgress(resp *fasthttp.Response, maxBytes int, progress func()) ([]byte, error) {
	if !resp.IsBodyStream() {
		return resp.Body(), nil
	}
	stream := progressReader{reader: resp.BodyStream(), progress: progress}
	body, err := io.ReadAll(io.LimitReader(stream, int64(maxBytes)+1))
	_ = resp.CloseBodyStream()
	if err != nil {
		return nil, fmt.Errorf("read the response body: %w", err)
	}
	if len(body) > maxBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, maxBytes)
	}
	return body, nil
}

// progressReader calls progress after each read that returned bytes.
type progressReader struct {
	reader   io.Reader
	progress func()
}

// Read reads from the underlying reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if n > 0 {
		p.progress()
	}
	return n, err
}
