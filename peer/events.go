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
	// accepted holds the connections of the listener; nil for the client.
	accepted *accepted
}

// OnBoot records that the listener is running.
func (v *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if v.accepted != nil {
		v.endpoint.engine = engine
		close(v.endpoint.listening)
	}
	return gnet.None
}

// OnOpen creates the stream of an accepted connection. A dialed one already has a
// stream.
func (v *eventHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if v.accepted == nil {
		if s := streamOf(c); s != nil {
			s.conn = c
		}
		return nil, gnet.None
	}
	s := newStream(v.endpoint.cfg.MaxFrameBytes, v.endpoint.countOut)
	s.conn = c
	c.SetContext(s)
	v.endpoint.newRPCConn(s)
	v.end(v.accepted.open(s))
	return nil, gnet.None
}

// end closes connections for lack of room, and counts the others.
func (v *eventHandler) end(streams []*stream) {
	for _, s := range streams {
		v.endpoint.ended.Add(1)
		_ = s.Close()
	}
	v.countAccepted()
}

func (v *eventHandler) countAccepted() {
	v.endpoint.accepted.Store(int64(len(v.accepted.streams)))
}

// OnTraffic reads the complete frames, and closes the connection if that fails.
func (v *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	s := streamOf(c)
	if s == nil {
		return gnet.Close
	}
	n, err := s.readFrames()
	v.endpoint.bytesIn.Add(int64(n))
	if v.accepted != nil {
		v.end(v.accepted.received(s, s.incomplete(), n > 0))
		if !v.accepted.has(s) {
			return gnet.Close
		}
	}
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
		if v.accepted != nil {
			v.accepted.close(s)
			v.countAccepted()
		}
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
