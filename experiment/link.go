package experiment

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// Link describes the network link between two availability zones.
type Link struct {
	// OneWay is the minimum delay in each direction, and Jitter the maximum that is
	// added to it.
	OneWay, Jitter time.Duration
	// Loss is the share of writes that are lost and retransmitted.
	Loss float64
}

// roundTrip returns the mean round-trip time without losses.
func (l Link) roundTrip() time.Duration { return 2*l.OneWay + l.Jitter }

// relayKey identifies the relay from an availability zone to a daemon's address.
type relayKey struct {
	from, address string
}

// Links connects daemons in different availability zones through relays that add the
// delay, jitter and loss of a Link. Connections within a zone are direct.
type Links struct {
	link Link
	seed uint64

	mu           sync.Mutex
	zones        map[string]string
	relays       map[relayKey]*standin.Relay
	isolatedZone string
}

// NewLinks returns links without any daemons. The seed determines jitter and loss.
func NewLinks(link Link, seed uint64) *Links {
	return &Links{
		link: link, seed: seed,
		zones:  map[string]string{},
		relays: map[relayKey]*standin.Relay{},
	}
}

// Add registers the availability zone of a daemon's peer address.
func (l *Links) Add(address, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[address] = zone
}

// Dial returns a function that opens connections from a zone, for daemon.Overrides.
func (l *Links) Dial(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		target, delay, err := l.endpoint(from, address)
		if err != nil {
			return nil, fmt.Errorf("dial from zone %s: %w", from, err)
		}
		if err := wait(ctx, delay); err != nil {
			return nil, fmt.Errorf("dial from zone %s: %w", from, err)
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", target)
	}
}

// blockedDialDelay is longer than the timeout of any dial.
const blockedDialDelay = time.Hour

// endpoint returns the address to dial in place of a daemon's address and how long
// the dial takes. It opens a relay if there is none yet from this zone to the address.
func (l *Links) endpoint(from, address string) (target string, delay time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	to := l.zones[address]
	if to == from {
		return address, 0, nil
	}
	key := relayKey{from, address}
	r := l.relays[key]
	if r == nil {
		l.seed++
		r, err = standin.NewRelay(standin.RelayConfig{Target: address, Link: l.relayLink(from, to), Seed: l.seed})
		if err != nil {
			return "", 0, fmt.Errorf("open relay: %w", err)
		}
		l.relays[key] = r
	}
	if l.isCut(from, to) {
		return r.Addr(), blockedDialDelay, nil
	}
	return r.Addr(), l.link.roundTrip(), nil
}

// oneWayDelay returns the mean one-way delay between two zones, and whether they are
// connected.
func (l *Links) oneWayDelay(from, to string) (oneWay time.Duration, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == to {
		return 0, true
	}
	return l.link.OneWay + l.link.Jitter/2, !l.isCut(from, to)
}

// isCut reports whether the link between two zones is cut.
func (l *Links) isCut(from, to string) bool {
	return l.isolatedZone != "" && from != to && (from == l.isolatedZone || to == l.isolatedZone)
}

// relayLink returns the link settings of a relay between two zones.
func (l *Links) relayLink(from, to string) standin.Link {
	fault := standin.LinkFaultNone
	if l.isCut(from, to) {
		fault = standin.LinkFaultBlackHole
	}
	return standin.Link{Delay: l.link.OneWay, Jitter: l.link.Jitter, Loss: l.link.Loss, Cut: fault}
}

// IsolateZone cuts a zone off from all others, and restores the zone that was cut off
// before; "" only restores.
func (l *Links) IsolateZone(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolatedZone = zone
	for key, r := range l.relays {
		r.Set(l.relayLink(key.from, l.zones[key.address]))
	}
}

// Close closes all connections between zones.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.relays {
		r.Close()
	}
	clear(l.relays)
}

// wait sleeps for d. If the context ends first, it returns the context's error.
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
