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
}

func newStream(maxBytes int, onSent func(int)) *stream {
	return &stream{
		maxBytes: maxBytes,
		onSent:   onSent,
		inbox:    make(chan []byte, maxInboxFrames),
		closed:   make(chan struct{}),
	}
}

// readFrames moves the complete frames from the connection to the inbox. It runs on
// gnet's event loop and never blocks.
func (s *stream) readFrames() error {
	for {
		data, err := s.conn.Peek(-1)
		if err != nil || len(data) == 0 {
			return nil
		}
		start, end, ok, err := nextFrame(data, s.maxBytes)
		if err != nil {
			return err
		}
		if !ok {
			return nil
		}
		frame := append([]byte(nil), data[start:end]...)
		if _, err := s.conn.Discard(end); err != nil {
			return fmt.Errorf("discard frame from the buffer: %w", err)
		}
		select {
		case s.inbox <- frame:
		default:
			return ErrBacklog
		}
	}
}

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
