package peer

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// maxInboxFrames limits the received frames that wait for the reader of one connection.
const maxInboxFrames = 1024

// stream adapts a gnet connection, which pushes bytes, to jsonrpc2, which pulls objects.
// It implements jsonrpc2.ObjectStream.
type stream struct {
	conn     gnet.Conn
	maxBytes int
	onSent   func(bytes int)
	inbox    chan []byte
	closed   chan struct{}
	once     sync.Once

	// length holds the first bytes of a frame, as long as its length is not known, and frame
	// its JSON from then on. Its capacity is exact: gnet's own buffers grow to twice that.
	length []byte
	frame  []byte
}

func newStream(maxBytes int, onSent func(int)) *stream {
	return &stream{
		maxBytes: maxBytes,
		onSent:   onSent,
		inbox:    make(chan []byte, maxInboxFrames),
		closed:   make(chan struct{}),
	}
}

// readFrames moves the complete frames from the connection to the inbox, and returns how many
// bytes they had. It runs on gnet's event loop and never blocks.
func (s *stream) readFrames() (frameBytes int, err error) {
	data, err := s.conn.Next(-1)
	if err != nil {
		return 0, fmt.Errorf("read from the connection: %w", err)
	}
	for len(data) > 0 {
		if s.frame == nil {
			if data, err = s.readLength(data); err != nil {
				return frameBytes, err
			}
			continue
		}
		n := min(cap(s.frame)-len(s.frame), len(data))
		s.frame = append(s.frame, data[:n]...)
		data = data[n:]
		if len(s.frame) < cap(s.frame) {
			break
		}
		frameBytes += len(s.length) + len(s.frame)
		select {
		case s.inbox <- s.frame:
		default:
			return frameBytes, ErrBacklog
		}
		s.frame, s.length = nil, s.length[:0]
	}
	return frameBytes, nil
}

// readLength reads the length of a frame, and returns the data after it.
func (s *stream) readLength(data []byte) ([]byte, error) {
	for i, b := range data {
		s.length = append(s.length, b)
		length, ok, err := frameLength(s.length, s.maxBytes)
		if err != nil {
			return nil, err
		}
		if ok {
			s.frame = make([]byte, 0, length)
			return data[i+1:], nil
		}
	}
	return nil, nil
}

// incomplete returns how many bytes an incomplete frame uses.
func (s *stream) incomplete() int { return cap(s.frame) }

// WriteObject queues obj on the connection.
func (s *stream) WriteObject(obj any) error {
	frame, err := appendFrame(obj, s.maxBytes)
	if err != nil {
		return err
	}
	if err := s.conn.AsyncWrite(frame, s.limitOutbound); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	s.onSent(len(frame))
	return nil
}

// limitOutbound closes a connection whose receiver does not read.
func (s *stream) limitOutbound(c gnet.Conn, err error) error {
	if err == nil && c.OutboundBuffered() > 4*s.maxBytes {
		return c.Close()
	}
	return nil
}

// ReadObject waits for the next frame and decodes it into v.
func (s *stream) ReadObject(v any) error {
	select {
	case frame := <-s.inbox:
		if err := json.Unmarshal(frame, v); err != nil {
			return fmt.Errorf("decode message: %w", err)
		}
		return nil
	case <-s.closed:
		return io.EOF
	}
}

// Close closes the connection. It may be called more than once.
func (s *stream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
	return nil
}
