package memory

import (
	"cmp"
	"slices"
	"time"
)

// State is what a connection is doing.
type State string

// The states.
const (
	// Waiting is for a request, the head of which may have arrived in part.
	Waiting State = "waiting"
	// Running is from the end of the head to the answer, unless the body is being read, and
	// while the connection waits for more of a streamed answer.
	Running State = "running"
	// ReadingBody is while the body of a request is incomplete.
	ReadingBody State = "readingBody"
	// WritingAnswer is until the sender has taken the answer.
	WritingAnswer State = "writingAnswer"
)

const (
	// ConnectionBytes is what an open connection costs: the read buffer of 16 KiB, the write
	// buffer of 4 KiB, and the rest for the request and its goroutine.
	ConnectionBytes = 24 << 10
	// RequestBytes is what a request in progress costs beside its bodies: two buffers of
	// 16 KiB of the connection on which it is sent on, copies of the head, and goroutines.
	RequestBytes = 48 << 10

	// bodyStallLimit and answerStallLimit are how long a body and an answer can make no
	// progress before they are ended under pressure. Senders with links of 10 Mbit/s that
	// share it with thirty others make progress every 100 ms.
	bodyStallLimit   = time.Second
	answerStallLimit = 2 * time.Second
	// UnreadLimit is how long an answer can make no progress at all. It is longer than any
	// deadline in use, the longest of which is 12 s.
	UnreadLimit = 30 * time.Second
)

// Conn is one connection in Connections.
type Conn struct {
	state State
	// progress is when the connection has last made progress in its state.
	progress time.Time
	// served is true once a request has been answered.
	served bool
	ended  bool
	// number is the count of connections opened before it.
	number int64
	hold   *Hold
	// request is what is reserved for the request in progress, or nil.
	request *Hold
}

// State returns what the connection is doing.
func (c *Conn) State() State { return c.state }

// Ended reports whether the connection was chosen to be ended.
func (c *Conn) Ended() bool { return c.ended }

// Request returns what is reserved for the request in progress, or nil.
func (c *Conn) Request() *Hold { return c.request }

// Connections holds the connections of one port. It is not safe for concurrent use.
type Connections struct {
	account *Account
	source  Source
	limit   int
	all     map[*Conn]struct{}
	counts  Counts
	opened  int64
}

// NewConnections returns an empty set of at most limit connections, which are also limited
// to half of what the source can use of the account.
func NewConnections(account *Account, source Source, limit int) *Connections {
	byMemory := int(account.SourceLimit() / 2 / ConnectionBytes)
	return &Connections{account: account, source: source, limit: min(limit, byMemory), all: map[*Conn]struct{}{}}
}

// Limit returns the limit on the number of connections.
func (t *Connections) Limit() int { return t.limit }

// Status returns the present state.
func (t *Connections) Status() PortStatus {
	return PortStatus{Open: len(t.all), Limit: t.limit, Counts: t.counts}
}

// Open adds a connection. If there are too many, another one is to be ended, or the new one
// is refused: then opened is nil.
func (t *Connections) Open(now time.Time) (opened, end *Conn) {
	if len(t.all) >= t.limit {
		if end = t.evictionCandidate(now); end == nil {
			t.counts.Refused++
			return nil, nil
		}
		t.end(end)
		// Its memory is released for the new one before the server reports it closed.
		t.forget(end)
	}
	hold := t.account.Open(t.source)
	if !hold.Reserve(OpenConnections, ConnectionBytes) {
		t.counts.Refused++
		return nil, end
	}
	opened = &Conn{state: Waiting, progress: now, hold: hold, number: t.opened}
	t.opened++
	t.all[opened] = struct{}{}
	return opened, end
}

// Begin starts a request whose head is complete. It returns false if there is no room for
// it, or if the connection is being ended.
func (t *Connections) Begin(c *Conn, now time.Time) bool {
	if c.ended {
		return false
	}
	if c.request != nil {
		return true
	}
	request := t.account.Open(t.source)
	if !request.Reserve(Requests, RequestBytes) {
		t.counts.Requests++
		return false
	}
	c.request, c.state, c.progress = request, Running, now
	return true
}

// Progress records that a body has made progress.
func (t *Connections) Progress(c *Conn, now time.Time) { c.progress = now }

// ReadBody records that the body of the request is being read.
func (t *Connections) ReadBody(c *Conn, now time.Time) {
	c.state, c.progress = ReadingBody, now
}

// BodyRead records that the body is complete. It returns false if the connection is being
// ended.
func (t *Connections) BodyRead(c *Conn) bool {
	if !c.ended {
		c.state = Running
	}
	return !c.ended
}

// AwaitUpstream records that the connection waits for more of the answer, so that it cannot
// stall.
func (t *Connections) AwaitUpstream(c *Conn, now time.Time) {
	c.state, c.progress = Running, now
}

// Answer records that the answer is being written.
func (t *Connections) Answer(c *Conn, now time.Time) {
	c.state, c.progress = WritingAnswer, now
}

// Done records that the answer has been written. What was reserved for the request is
// released.
func (t *Connections) Done(c *Conn, now time.Time) {
	c.state, c.progress, c.served = Waiting, now, true
	t.releaseRequest(c)
}

// Close removes a connection and releases what is reserved for it. It may be called more
// than once.
func (t *Connections) Close(c *Conn) {
	t.forget(c)
	t.releaseRequest(c)
}

// forget removes a connection, but not the request that it may have.
func (t *Connections) forget(c *Conn) {
	delete(t.all, c)
	c.hold.ReleaseAll()
}

func (t *Connections) releaseRequest(c *Conn) {
	if c.request != nil {
		c.request.ReleaseAll()
		c.request = nil
	}
}

// EndStalled returns the connections to end now: those whose answers have not been read for
// long, and under pressure as many of the stalled ones as are needed, those with the oldest
// progress first.
func (t *Connections) EndStalled(now time.Time) []*Conn {
	var out []*Conn
	excess := t.account.Excess(t.source)
	for _, c := range t.byProgress() {
		unread := c.state == WritingAnswer && now.Sub(c.progress) >= UnreadLimit
		if c.ended || !unread && (excess <= 0 || !stalled(c, now)) {
			continue
		}
		if c.request != nil {
			excess -= c.request.Bytes()
		}
		t.end(c)
		out = append(out, c)
	}
	return out
}

// stalled reports whether a body or an answer has made no progress for some time.
func stalled(c *Conn, now time.Time) bool {
	since := now.Sub(c.progress)
	return c.state == ReadingBody && since >= bodyStallLimit || c.state == WritingAnswer && since >= answerStallLimit
}

// byProgress returns the connections with a body or an answer on the way, the oldest progress
// first.
func (t *Connections) byProgress() []*Conn {
	var out []*Conn
	for c := range t.all {
		if c.state == ReadingBody || c.state == WritingAnswer {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareProgress)
	return out
}

// compareProgress orders connections by their progress, and those with equal progress by when
// they were opened.
func compareProgress(x, y *Conn) int {
	return cmp.Or(x.progress.Compare(y.progress), cmp.Compare(x.number, y.number))
}

// evictionCandidate returns the connection to end in favour of a new one, or nil: one that
// waits for its first request, or else for another one, or else a stalled one. Among equals it is
// the one with the oldest progress.
func (t *Connections) evictionCandidate(now time.Time) *Conn {
	var first *Conn
	for c := range t.all {
		if c.ended || !stalled(c, now) && c.state != Waiting {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(evictionOrder(c), evictionOrder(first)), compareProgress(c, first)) < 0 {
			first = c
		}
	}
	return first
}

// evictionOrder returns the rank of a connection that may be ended; the lowest is ended first.
func evictionOrder(c *Conn) int {
	switch {
	case c.state == Waiting && !c.served:
		return 0
	case c.state == Waiting:
		return 1
	}
	return 2
}

// end marks a connection as to be ended, and counts it.
func (t *Connections) end(c *Conn) {
	c.ended = true
	switch c.state {
	case ReadingBody:
		t.counts.Bodies++
	case WritingAnswer:
		t.counts.Answers++
	default:
		t.counts.Idle++
	}
}
