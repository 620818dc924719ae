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
	// queueMessages bounds the messages that wait for one address.
	queueMessages = 256
	// linkIdle is how long a link with nothing to send stays open.
	linkIdle = 30 * time.Second
	// redialPause keeps a dead address from being dialled in a loop.
	redialPause = 200 * time.Millisecond
	dialTimeout = time.Second
)

// link sends the messages for one address, in order, on one connection.
type link struct {
	e       *Endpoint
	address string
	queue   chan Envelope
	ended   chan struct{}
	once    sync.Once
	conn    *jsonrpc2.Conn
}

func newLink(e *Endpoint, address string) *link {
	return &link{
		e:       e,
		address: address,
		queue:   make(chan Envelope, queueMessages),
		ended:   make(chan struct{}),
	}
}

// offer queues a message, and reports false when it had to be dropped.
func (l *link) offer(m Envelope) bool {
	select {
	case l.queue <- m:
		return true
	default:
		return false
	}
}

func (l *link) stop() {
	l.once.Do(func() { close(l.ended) })
}

// run sends until the link has been idle or is stopped.
func (l *link) run() {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	defer l.hangUp()
	defer l.e.forget(l)
	for {
		select {
		case m := <-l.queue:
			idle.Reset(linkIdle)
			if err := l.send(m); err != nil {
				l.e.dropped.Add(1)
				l.hangUp()
			}
		case <-idle.C:
			return
		case <-l.ended:
			return
		}
	}
}

// send writes one message, opening the connection first where there is none.
func (l *link) send(m Envelope) error {
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.hangUp()
		default:
		}
	}
	if l.conn == nil {
		if err := l.dial(); err != nil {
			l.drain()
			time.Sleep(redialPause)
			return err
		}
	}
	if err := l.conn.Notify(context.Background(), m.Kind, m); err != nil {
		return fmt.Errorf("notify %s: %w", l.address, err)
	}
	return nil
}

func (l *link) dial() error {
	dialer := net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(l.e.cfg.From); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	raw, err := dialer.Dial("tcp", l.address)
	if err != nil {
		return fmt.Errorf("dial control %s: %w", l.address, err)
	}
	s := newStream(l.e.cfg.MaxFrame, l.e.countOut)
	if _, err := l.e.client.EnrollContext(raw, s); err != nil {
		return fmt.Errorf("hand control %s to gnet: %w", l.address, err)
	}
	l.conn = l.e.converse(s)
	return nil
}

// drain drops what waits for an address that cannot be reached: old control
// messages are worth less than new ones.
func (l *link) drain() {
	for {
		select {
		case <-l.queue:
			l.e.dropped.Add(1)
		default:
			return
		}
	}
}

func (l *link) hangUp() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}
