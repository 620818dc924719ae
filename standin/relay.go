package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Bounds of a relay.
const (
	relayChunk   = 16 << 10
	relayWaiting = 64
	relayDial    = 2 * time.Second
	// retransmit is the least time after which TCP sends a lost packet again
	// (Linux).
	retransmit = 200 * time.Millisecond
)

// Cut says how a link is cut.
type Cut string

// The states of a link.
const (
	// CutOff passes everything on.
	CutOff Cut = "off"
	// CutBlackHole holds everything back and says nothing, as a link that
	// drops packets; what was held goes on when it ends.
	CutBlackHole Cut = "blackHole"
	// CutAnswers is a black hole for what comes back, and passes on the rest.
	CutAnswers Cut = "answers"
	// CutReset resets every connection, old and new.
	CutReset Cut = "reset"
)

// Link is what a relay does to the bytes in each direction.
type Link struct {
	// Delay is one way; Jitter is the most that is added to it.
	Delay, Jitter time.Duration
	// Loss is the share of chunks that are lost and sent again, which shows
	// as a longer delay of all that follows.
	Loss float64
	Cut  Cut
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Listen is a loopback address; empty means any free port. To is where
	// connections lead.
	Listen, To string
	Link       Link
	Seed       uint64
}

// Relay is a TCP relay that stands in for the link between two availability
// zones.
type Relay struct {
	to       string
	listener *Listener
	closed   chan struct{}

	mu   sync.Mutex
	rng  *rand.Rand
	link Link
	// isolated holds the IPs whose connections are cut.
	isolated map[string]bool
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

// NewRelay starts a relay.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	if err := checkLoopback(cfg.To); err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	l, err := Listen(cfg.Listen, 0)
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	r := &Relay{
		to: cfg.To, listener: l, link: cfg.Link,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 2)),
		closed: make(chan struct{}), changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, isolated: map[string]bool{},
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set changes the link from now on.
func (r *Relay) Set(link Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
	close(r.changed)
	r.changed = make(chan struct{})
	if link.Cut == CutReset {
		for c := range r.conns {
			Reset(c)
		}
	}
}

// Isolate cuts the connections that come from an IP, as a link that drops packets
// in both directions, or mends them.
func (r *Relay) Isolate(ip string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated[ip] = cut
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the relay and every connection over it.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Kill()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		Reset(c)
	}
}

// accept serves connections until the relay closes.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve joins one connection with one to the other side.
func (r *Relay) serve(from net.Conn) {
	if !r.keep(from) {
		return
	}
	defer r.drop(from)
	source := sourceOf(from)
	if !r.waitOpen(source, CutBlackHole) {
		return
	}
	to, err := net.DialTimeout("tcp", r.to, relayDial)
	if err != nil {
		Reset(from)
		return
	}
	if !r.keep(to) {
		return
	}
	defer r.drop(to)
	var both sync.WaitGroup
	both.Go(func() { r.pass(to, from, source, CutBlackHole) })
	both.Go(func() { r.pass(from, to, source, CutBlackHole, CutAnswers) })
	both.Wait()
}

// keep notes a connection; on a reset or closed link it resets it and returns
// false.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		Reset(c)
		return false
	default:
	}
	if r.link.Cut == CutReset {
		Reset(c)
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// drop closes a connection and forgets it.
func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// chunk is bytes on their way, with the moment of their arrival.
type chunk struct {
	due  time.Time
	data []byte
}

// pass carries one direction, which the cuts named hold up. Bytes stay in order,
// so a late chunk holds back those behind it. The end of the direction is passed
// on too.
func (r *Relay) pass(to, from net.Conn, source string, cuts ...Cut) {
	way := make(chan chunk, relayWaiting)
	over := make(chan struct{})
	go func() {
		defer close(over)
		r.deliver(to, way, source, cuts)
	}()
	r.receive(from, way, over)
	close(way)
	<-over
}

// receive reads until the end and stamps each chunk with its arrival.
func (r *Relay) receive(from net.Conn, way chan<- chunk, over <-chan struct{}) {
	for {
		buf := make([]byte, relayChunk)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case way <- chunk{due: time.Now().Add(r.draw()), data: buf[:n]}:
			case <-over:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk when it is due and the link is open.
func (r *Relay) deliver(to net.Conn, way <-chan chunk, source string, cuts []Cut) {
	for c := range way {
		time.Sleep(time.Until(c.due))
		if !r.waitOpen(source, cuts...) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			Reset(to)
			return
		}
	}
	if !r.waitOpen(source, cuts...) {
		return
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// draw returns the delay of one chunk.
func (r *Relay) draw() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.link.Delay
	if r.link.Jitter > 0 {
		d += time.Duration(r.rng.Int64N(int64(r.link.Jitter)))
	}
	if r.link.Loss > 0 && r.rng.Float64() < r.link.Loss {
		d += max(retransmit, 2*r.link.Delay)
	}
	return d
}

// sourceOf returns the IP that a connection comes from.
func sourceOf(c net.Conn) string {
	// The address of an accepted TCP connection always has a port.
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

// waitOpen waits while the link is cut in one of the ways named, or for the IP that
// the connection comes from, and returns false when the relay closes.
func (r *Relay) waitOpen(source string, cuts ...Cut) bool {
	for {
		r.mu.Lock()
		cut, changed, isolated := r.link.Cut, r.changed, r.isolated[source]
		r.mu.Unlock()
		if !isolated && !slices.Contains(cuts, cut) {
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}
