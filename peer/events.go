package peer

import (
	"context"

	"github.com/panjf2000/gnet/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// events receives gnet's calls for the listening side or the dialling side.
type events struct {
	gnet.BuiltinEventEngine
	e      *Endpoint
	server bool
}

// OnBoot notes that the listener is up.
func (v *events) OnBoot(engine gnet.Engine) gnet.Action {
	if v.server {
		v.e.engine = engine
		close(v.e.booted)
	}
	return gnet.None
}

// OnOpen gives an accepted connection its stream. A dialled one brings it.
func (v *events) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !v.server {
		if s := streamOf(c); s != nil {
			s.conn = c
		}
		return nil, gnet.None
	}
	s := newStream(v.e.cfg.MaxFrame, v.e.countOut)
	s.conn = c
	c.SetContext(s)
	v.e.converse(s)
	return nil, gnet.None
}

// OnTraffic hands on every whole frame, and closes where framing is lost.
func (v *events) OnTraffic(c gnet.Conn) gnet.Action {
	s := streamOf(c)
	if s == nil {
		return gnet.Close
	}
	before := c.InboundBuffered()
	err := s.push()
	v.e.bytesIn.Add(int64(before - c.InboundBuffered()))
	if err == nil {
		return gnet.None
	}
	if v.e.cfg.Lost != nil {
		v.e.cfg.Lost(err)
	}
	return gnet.Close
}

// OnClose ends the stream, which ends its jsonrpc2 reader.
func (v *events) OnClose(c gnet.Conn, _ error) gnet.Action {
	if s := streamOf(c); s != nil {
		s.once.Do(func() { close(s.closed) })
	}
	return gnet.None
}

func streamOf(c gnet.Conn) *stream {
	s, _ := c.Context().(*stream)
	return s
}

// converse starts reading a stream's messages.
func (e *Endpoint) converse(s *stream) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(context.Background(), s, e, jsonrpc2.SetLogger(noLog{}))
}

func (e *Endpoint) countOut(n int) { e.bytesOut.Add(int64(n)) }

// noLog keeps jsonrpc2's own log out of the daemon's.
type noLog struct{}

func (noLog) Printf(string, ...any) {}
