package peer

import (
	"context"

	"github.com/panjf2000/gnet/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// eventHandler handles gnet's events of either the listener or the client.
type eventHandler struct {
	gnet.BuiltinEventEngine
	endpoint *Endpoint
	server   bool
}

// OnBoot records that the listener is running.
func (v *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if v.server {
		v.endpoint.engine = engine
		close(v.endpoint.listening)
	}
	return gnet.None
}

// OnOpen creates the stream of an accepted connection. A dialed one already has a
// stream.
func (v *eventHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !v.server {
		if s := streamOf(c); s != nil {
			s.conn = c
		}
		return nil, gnet.None
	}
	s := newStream(v.endpoint.cfg.MaxFrameBytes, v.endpoint.countOut)
	s.conn = c
	c.SetContext(s)
	v.endpoint.newRPCConn(s)
	return nil, gnet.None
}

// OnTraffic reads the complete frames, and closes the connection if that fails.
func (v *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	s := streamOf(c)
	if s == nil {
		return gnet.Close
	}
	before := c.InboundBuffered()
	err := s.readFrames()
	v.endpoint.bytesIn.Add(int64(before - c.InboundBuffered()))
	if err == nil {
		return gnet.None
	}
	if v.endpoint.cfg.OnError != nil {
		v.endpoint.cfg.OnError(err)
	}
	return gnet.Close
}

// OnClose closes the stream, which ends its jsonrpc2 reader.
func (v *eventHandler) OnClose(c gnet.Conn, _ error) gnet.Action {
	if s := streamOf(c); s != nil {
		s.once.Do(func() { close(s.closed) })
	}
	return gnet.None
}

func streamOf(c gnet.Conn) *stream {
	s, _ := c.Context().(*stream)
	return s
}

// newRPCConn starts reading the messages of a stream.
func (e *Endpoint) newRPCConn(s *stream) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(context.Background(), s, e, jsonrpc2.SetLogger(discardRPCLog{}))
}

func (e *Endpoint) countOut(n int) { e.bytesOut.Add(int64(n)) }

// discardRPCLog discards jsonrpc2's log.
type discardRPCLog struct{}

func (discardRPCLog) Printf(string, ...any) {}
