package peer

import (
	"pomelodoor.example/pomelodoor/memory"
)

// acceptedConnBytes is what an accepted connection costs beside incomplete messages: its inbox
// and its goroutines.
const acceptedConnBytes = 32 << 10

// accepted limits the connections that others have opened and the bytes of incomplete messages on
// them, against hundreds of connections that each send most of a long message. When there is too
// little room, the connection whose last complete message is the longest ago is to be ended. It is
// used by one event loop, and not safe for concurrent use.
type accepted struct {
	maxConns int
	maxBytes int
	// hold is nil without an account.
	hold     *memory.Hold
	streams  map[*stream]*acceptedConn
	buffered int
	// events counts the connections opened and the messages received. It orders them in time.
	events int
}

// acceptedConn is the state of one accepted connection.
type acceptedConn struct {
	// lastEvent is the value of accepted.events at the last complete message.
	lastEvent int
	buffered  int
}

func newAccepted(maxConns, maxBytes int, hold *memory.Hold) *accepted {
	return &accepted{maxConns: maxConns, maxBytes: maxBytes, hold: hold, streams: map[*stream]*acceptedConn{}}
}

// open adds a connection, and returns those to be ended for it, perhaps itself.
func (a *accepted) open(s *stream) (end []*stream) {
	a.events++
	a.streams[s] = &acceptedConn{lastEvent: a.events}
	reserved := a.reserve(memory.OpenConnections, acceptedConnBytes)
	for len(a.streams) > a.maxConns || !reserved {
		oldest := a.oldest(0)
		end = append(end, oldest)
		if reserved {
			a.close(oldest)
			continue
		}
		// The new one takes over its reservation, having none of its own.
		a.forget(oldest)
		reserved = true
	}
	return end
}

// received records how much of an incomplete message is buffered after some bytes have
// arrived, and whether a message was complete. It returns the connections to be ended.
func (a *accepted) received(s *stream, buffered int, complete bool) (end []*stream) {
	c := a.streams[s]
	if c == nil {
		return nil
	}
	if complete {
		a.events++
		c.lastEvent = a.events
	}
	more := buffered - c.buffered
	c.buffered += more
	a.buffered += more
	if more <= 0 {
		a.release(memory.Messages, -more)
		return nil
	}
	reserved := a.reserve(memory.Messages, more)
	for a.buffered > a.maxBytes || !reserved {
		oldest := a.oldest(1)
		end = append(end, oldest)
		if oldest == s && !reserved {
			c.buffered -= more
			a.buffered -= more
			reserved = true
		}
		a.close(oldest)
		reserved = reserved || a.reserve(memory.Messages, more)
	}
	return end
}

// has reports whether a connection has not been closed or ended.
func (a *accepted) has(s *stream) bool { return a.streams[s] != nil }

// close removes a connection. It may be called more than once.
func (a *accepted) close(s *stream) {
	if a.streams[s] != nil {
		a.forget(s)
		a.release(memory.OpenConnections, acceptedConnBytes)
	}
}

// forget removes a connection, but keeps acceptedConnBytes reserved.
func (a *accepted) forget(s *stream) {
	c := a.streams[s]
	delete(a.streams, s)
	a.buffered -= c.buffered
	a.release(memory.Messages, c.buffered)
}

// oldest returns the connection with the oldest last message of those that have at least so
// many bytes buffered.
func (a *accepted) oldest(buffered int) *stream {
	var oldest *stream
	for s, c := range a.streams {
		if c.buffered >= buffered && (oldest == nil || c.lastEvent < a.streams[oldest].lastEvent) {
			oldest = s
		}
	}
	return oldest
}

func (a *accepted) reserve(kind memory.Kind, n int) bool {
	return a.hold == nil || a.hold.Reserve(kind, int64(n))
}

func (a *accepted) release(kind memory.Kind, n int) {
	if a.hold != nil {
		a.hold.Release(kind, int64(n))
	}
}
