package experiment

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// Link is the way between two availability zones.
type Link struct {
	// OneWay is the least delay, and Jitter the most that is added to it.
	OneWay, Jitter time.Duration
	// Loss is the share of writes that are lost and sent again.
	Loss float64
}

// roundTrip returns the usual time there and back.
func (l Link) roundTrip() time.Duration { return 2*l.OneWay + l.Jitter }

// route is the way from one availability zone to one daemon.
type route struct {
	from, address string
}

// Links joins the daemons of different availability zones. Within a zone
// connections are direct.
type Links struct {
	link Link
	seed uint64

	mu     sync.Mutex
	zones  map[string]string
	relays map[route]*standin.Relay
	cut    string
}

// NewLinks returns links with no daemon known. The seed makes jitter and loss
// repeat.
func NewLinks(link Link, seed uint64) *Links {
	return &Links{
		link: link, seed: seed,
		zones:  map[string]string{},
		relays: map[route]*standin.Relay{},
	}
}

// Add notes the availability zone of a daemon's peer address.
func (l *Links) Add(address, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[address] = zone
}

// Dial returns the function that opens connections from a zone, as
// daemon.Seams takes it.
func (l *Links) Dial(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		way, delay, err := l.open(from, address)
		if err != nil {
			return nil, fmt.Errorf("link from %s: %w", from, err)
		}
		if err := wait(ctx, delay); err != nil {
			return nil, fmt.Errorf("link from %s: %w", from, err)
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", way)
	}
}

// never is longer than any dial waits.
const never = time.Hour

// open returns the address to connect to and how long a connection takes.
func (l *Links) open(from, address string) (way string, delay time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := l.zones[address]
	if to == from {
		return address, 0, nil
	}
	key := route{from, address}
	r := l.relays[key]
	if r == nil {
		l.seed++
		r, err = standin.NewRelay(standin.RelayConfig{To: address, Link: l.state(from, to), Seed: l.seed})
		if err != nil {
			return "", 0, fmt.Errorf("open a relay: %w", err)
		}
		l.relays[key] = r
	}
	if l.isCut(from, to) {
		return r.Addr(), never, nil
	}
	return r.Addr(), l.link.roundTrip(), nil
}

// between returns the usual delay of one way between two zones, and whether
// anything passes.
func (l *Links) between(from, to string) (oneWay time.Duration, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == to {
		return 0, true
	}
	return l.link.OneWay + l.link.Jitter/2, !l.isCut(from, to)
}

// isCut reports whether nothing passes between two zones.
func (l *Links) isCut(from, to string) bool {
	return l.cut != "" && from != to && (from == l.cut || to == l.cut)
}

// state returns what a relay between two zones does.
func (l *Links) state(from, to string) standin.Link {
	cut := standin.CutOff
	if l.isCut(from, to) {
		cut = standin.CutBlackHole
	}
	return standin.Link{Delay: l.link.OneWay, Jitter: l.link.Jitter, Loss: l.link.Loss, Cut: cut}
}

// Cut lets nothing pass to or from a zone any more; "" ends that.
func (l *Links) Cut(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = zone
	for key, r := range l.relays {
		r.Set(l.state(key.from, l.zones[key.address]))
	}
}

// Close ends every connection between zones.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Close()
	}
	clear(l.relays)
}

// wait returns early with the context's error when it ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
