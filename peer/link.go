package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxQueuedMessages limits the queued messages for one address.
	maxQueuedMessages = 256
	// linkIdleTimeout is how long a link stays open without sending a message.
	linkIdleTimeout = 30 * time.Second
	// redialDelay prevents dialing an unreachable address in a tight loop.
	redialDelay = 200 * time.Millisecond
	dialTimeout = time.Second
)

// link sends the messages for one address, in order, on one connection.
type link struct {
	endpoint *Endpoint
	address  string
	queue    chan Envelope
	stopped  chan struct{}
	once     sync.Once
	conn     *jsonrpc2.Conn
}

func newLink(e *Endpoint, address string) *link {
	return &link{
		endpoint: e,
		address:  address,
		queue:    make(chan Envelope, maxQueuedMessages),
		stopped:  make(chan struct{}),
	}
}

// enqueue queues a message, and reports false if it had to be dropped.
func (l *link) enqueue(m Envelope) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

func (l *link) stop() {
	l.once.Do(func() { close(l.stopped) })
}

// run sends messages until the link is idle for too long or is stopped.
func (l *link) run() {
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	defer l.closeConn()
	defer l.endpoint.removeLink(l)
	for {
		select {
		case m := <-l.queue:
			idle.Reset(linkIdleTimeout)
			if err := l.send(m); err != nil {
				l.endpoint.dropped.Add(1)
				l.closeConn()
			}
		case <-idle.C:
			return
		case <-l.stopped:
			return
		}
	}
}

// send sends one message, after opening the connection if there is none.
func (l *link) send(m Envelope) error {
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.closeConn()
		default:
		}
	}
	if l.conn == nil {
		if err := l.dial(); err != nil {
			l.dropQueued()
			time.Sleep(redialDelay)
			return err
		}
	}
	if err := l.conn.Notify(context.Background(), m.Kind, m); err != nil {
		return fmt.Errorf("send control message to %s: %w", l.address, err)
	}
	return nil
}

func (l *link) dial() error {
	dialer := net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(l.endpoint.cfg.From); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	raw, err := dialer.Dial("tcp", l.address)
	if err != nil {
		return fmt.Errorf("dial control address %s: %w", l.address, err)
	}
	s := newStream(l.endpoint.cfg.MaxFrameBytes, l.endpoint.countOut)
	if _, err := l.endpoint.client.EnrollContext(raw, s); err != nil {
		return fmt.Errorf("register connection to %s with gnet: %w", l.address, err)
	}
	l.conn = l.endpoint.newRPCConn(s)
	return nil
}

// dropQueued drops the messages for an address that cannot be reached: old control
// messages are less useful than new ones.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.queue:
			l.endpoint.dropped.Add(1)
		default:
			return
		}
	}
}

func (l *link) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
