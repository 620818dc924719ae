package exchange

import (
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Source is a request body that remembers its own failure. Setting it as the
// body stream of a request lets Do tell a caller that stopped sending from a
// connection that broke.
type Source struct {
	reader io.Reader
	left   int
	taken  bool
	err    error
}

// NewSource returns a source that reads length bytes from r, or up to the end
// of r when length is negative.
func NewSource(r io.Reader, length int) *Source {
	return &Source{reader: r, left: length}
}

// Read reads from the body and keeps its first error. An end before the stated
// length is io.ErrUnexpectedEOF.
func (s *Source) Read(p []byte) (int, error) {
	s.taken = true
	n, err := s.reader.Read(p)
	if s.left >= 0 {
		s.left -= min(n, s.left)
		if errors.Is(err, io.EOF) && s.left > 0 {
			err = io.ErrUnexpectedEOF
		}
	}
	if err != nil && !errors.Is(err, io.EOF) && s.err == nil {
		s.err = err
	}
	return n, err
}

// Taken reports whether any of the body may have been read.
func (s *Source) Taken() bool { return s.taken }

// answerStream is the rest of an answer, still on its connection.
type answerStream struct {
	inner *fasthttp.Response
	done  func(whole bool)
	ended bool
}

// Read reads on, and gives the connection back at the body's end.
func (s *answerStream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, io.EOF
	}
	n, err := s.inner.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		s.end(true)
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("%w while streaming the body: %w", ErrLost, err)
	}
	return n, nil
}

// Close ends the answer early, which costs the connection.
func (s *answerStream) Close() error {
	s.end(false)
	return nil
}

func (s *answerStream) end(whole bool) {
	if s.ended {
		return
	}
	s.ended = true
	_ = s.inner.CloseBodyStream()
	fasthttp.ReleaseResponse(s.inner)
	s.done(whole)
}

// Whole returns the body of an answer, read to its end where it is a stream. It
// returns an error that wraps ErrTooLong when a stream has more than most bytes,
// or else that of the reading.
func Whole(resp *fasthttp.Response, most int) ([]byte, error) {
	if !resp.IsBodyStream() {
		return resp.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), int64(most)+1))
	_ = resp.CloseBodyStream()
	if err != nil {
		return nil, fmt.Errorf("read the whole answer: %w", err)
	}
	if len(body) > most {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLong, most)
	}
	return body, nil
}
