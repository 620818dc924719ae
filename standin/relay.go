package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits of a relay.
const (
	relayChunkBytes  = 16 << 10
	relayQueueChunks = 64
	relayDialTimeout = 2 * time.Second
	// minRetransmitDelay is the minimum time after which TCP retransmits a lost
	// packet on Linux.
	minRetransmitDelay = 200 * time.Millisecond
)

// LinkFault is a failure mode of a link.
type LinkFault string

// The failure modes of a link.
const (
	// LinkFaultNone forwards everything.
	LinkFaultNone LinkFault = "off"
	// LinkFaultBlackHole holds back all bytes and reports no error, like a link that
	// drops packets; the bytes are forwarded when the fault ends.
	LinkFaultBlackHole LinkFault = "blackHole"
	// LinkFaultBlackHoleResponses is a black hole for bytes from the target to the
	// client only.
	LinkFaultBlackHoleResponses LinkFault = "answers"
	// LinkFaultReset resets all existing and new connections.
	LinkFaultReset LinkFault = "reset"
)

// Link configures the delay and failures that a relay simulates in each
// direction.
type Link struct {
	// Delay is the one-way delay; Jitter is the upper limit of a random delay
	// added to it.
	Delay, Jitter time.Duration
	// Loss is the fraction of chunks that are lost and retransmitted, which
	// delays them and all chunks behind them.
	Loss float64
	Cut  LinkFault
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Listen is a loopback address; empty selects a free port. Target is the
	// target address.
	Listen, Target string
	Link           Link
	Seed           uint64
}

// Relay is a TCP relay that simulates the link between two availability zones.
type Relay struct {
	target   string
	listener *Listener
	closed   chan struct{}

	mu   sync.Mutex
	rng  *rand.Rand
	link Link
	// isolatedIPs holds the source IPs whose connections are cut.
	isolatedIPs map[string]bool
	changed     chan struct{}
	conns       map[net.Conn]struct{}
}

// NewRelay starts a relay.
func NewRelay(cfg RelayConfig) (*Relay, error) {
	if err := checkLoopback(cfg.Target); err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	l, err := Listen(cfg.Listen, 0)
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	r := &Relay{
		target: cfg.Target, listener: l, link: cfg.Link,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 2)),
		closed: make(chan struct{}), changed: make(chan struct{}),
		conns: map[net.Conn]struct{}{}, isolatedIPs: map[string]bool{},
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Set changes the simulated link.
func (r *Relay) Set(link Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
	close(r.changed)
	r.changed = make(chan struct{})
	if link.Cut == LinkFaultReset {
		for c := range r.conns {
			Reset(c)
		}
	}
}

// Isolate cuts the connections from an IP, like a link that drops packets in both
// directions, or restores them.
func (r *Relay) Isolate(ip string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolatedIPs[ip] = cut
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close stops the relay and resets all its connections.
func (r *Relay) Close() {
	close(r.closed)
	r.listener.Kill()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		Reset(c)
	}
}

// accept serves connections until the relay is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve connects a client connection to the target.
func (r *Relay) serve(from net.Conn) {
	if !r.track(from) {
		return
	}
	defer r.closeConn(from)
	source := sourceIP(from)
	if !r.waitOpen(source, LinkFaultBlackHole) {
		return
	}
	to, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		Reset(from)
		return
	}
	if !r.track(to) {
		return
	}
	defer r.closeConn(to)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(to, from, source, LinkFaultBlackHole) })
	directions.Go(func() { r.forward(from, to, source, LinkFaultBlackHole, LinkFaultBlackHoleResponses) })
	directions.Wait()
}

// track adds a connection to those that Set and Close reset. If the link has
// LinkFaultReset or the relay is closed, it resets the connection and returns false.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
		Reset(c)
		return false
	default:
	}
	if r.link.Cut == LinkFaultReset {
		Reset(c)
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// closeConn closes a connection and stops tracking it.
func (r *Relay) closeConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// chunk is a piece of data in transit, with its delivery time.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies data in one direction, which is blocked by the given faults.
// Bytes stay in order, so a late chunk delays those behind it. The end of the
// stream is forwarded too.
func (r *Relay) forward(to, from net.Conn, source string, faults ...LinkFault) {
	queue := make(chan chunk, relayQueueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.write(to, queue, source, faults)
	}()
	r.read(from, queue, done)
	close(queue)
	<-done
}

// read reads until the end of the stream and queues each chunk with its delivery
// time.
func (r *Relay) read(from net.Conn, queue chan<- chunk, done <-chan struct{}) {
	for {
		buf := make([]byte, relayChunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case queue <- chunk{due: time.Now().Add(r.drawDelay()), data: buf[:n]}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write writes each chunk once it is due and the link is open.
func (r *Relay) write(to net.Conn, queue <-chan chunk, source string, faults []LinkFault) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if !r.waitOpen(source, faults...) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			Reset(to)
			return
		}
	}
	if !r.waitOpen(source, faults...) {
		return
	}
	if closer, ok := to.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}

// drawDelay returns a random delay for one chunk.
func (r *Relay) drawDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.link.Delay
	if r.link.Jitter > 0 {
		d += time.Duration(r.rng.Int64N(int64(r.link.Jitter)))
	}
	if r.link.Loss > 0 && r.rng.Float64() < r.link.Loss {
		d += max(minRetransmitDelay, 2*r.link.Delay)
	}
	return d
}

// sourceIP returns the remote IP of a connection.
func sourceIP(c net.Conn) string {
	// The address of an accepted TCP connection always includes a port.
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

// waitOpen waits while the link has one of the given faults or the source IP
// is isolated. It returns false if the relay is closed.
func (r *Relay) waitOpen(source string, faults ...LinkFault) bool {
	for {
		r.mu.Lock()
		fault, changed, isolated := r.link.Cut, r.changed, r.isolatedIPs[source]
		r.mu.Unlock()
		if !isolated && !slices.Contains(faults, fault) {
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}
