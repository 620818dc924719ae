package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxValueBytes is the largest document that the platform holds.
const MaxValueBytes = 1 << 20

// Errors of the platform's operator side.
var (
	ErrValueTooLarge = errors.New("value larger than a megabyte")
	ErrBadInstance   = errors.New("instance without id")
)

// Outage says how the platform fails.
type Outage string

// The ways in which the platform can fail.
const (
	OutageOff    Outage = "off"
	OutageRefuse Outage = "refuse"
	OutageHang   Outage = "hang"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`
	Listen           string `json:"listen"`
	Peer             string `json:"peer"`
	Control          string `json:"control"`
	State            string `json:"state"`
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Listen is a loopback address; empty means any free port.
	Listen string
	// AnswerTime is how long each read takes; 0 means 2 ms.
	AnswerTime time.Duration
	// Lag is how far the list of instances trails what operators set.
	Lag time.Duration
}

// Platform stands in for the platform's read-and-watch service. Readers see
// /v1; drivers of a test change what it serves by /admin or by its methods.
type Platform struct {
	listener   *Listener
	server     *fasthttp.Server
	answerTime time.Duration
	reads      *readCounter
	closed     chan struct{}

	mu      sync.Mutex
	changed chan struct{}
	values  valueTable
	lists   []listView
	lag     time.Duration
	outage  Outage
	frozen  *frozenView
	marked  *frozenView
}

// valueTable holds the documents under one version that only goes up.
type valueTable struct {
	version uint64
	byKey   map[string]value
}

type value struct {
	version uint64
	body    []byte
}

// listView is the list of instances as it stood from one moment on.
type listView struct {
	version uint64
	since   time.Time
	byID    map[string]Instance
}

// frozenView is what the platform served at one moment.
type frozenView struct {
	values valueTable
	list   listView
}

// NewPlatform starts a platform stand-in.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	l, err := Listen(cfg.Listen, 0)
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	if cfg.AnswerTime == 0 {
		cfg.AnswerTime = 2 * time.Millisecond
	}
	p := &Platform{
		listener:   l,
		answerTime: cfg.AnswerTime,
		reads:      newReadCounter(time.Now()),
		closed:     make(chan struct{}),
		changed:    make(chan struct{}),
		values:     valueTable{byKey: map[string]value{}},
		lists:      []listView{{byID: map[string]Instance{}}},
		lag:        cfg.Lag,
		outage:     OutageOff,
	}
	p.server = &fasthttp.Server{
		Handler:               p.handle,
		MaxRequestBodySize:    MaxValueBytes + 1024,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close ends the platform and every connection to it.
func (p *Platform) Close() {
	close(p.closed)
	p.listener.Kill()
}

// Publish sets the document under a key.
func (p *Platform) Publish(key string, body []byte) error {
	if len(body) > MaxValueBytes {
		return fmt.Errorf("publish %s: %w", key, ErrValueTooLarge)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := valueTable{version: p.values.version + 1, byKey: maps.Clone(p.values.byKey)}
	next.byKey[key] = value{version: next.version, body: append([]byte(nil), body...)}
	p.values = next
	p.wake()
	return nil
}

// SetInstance adds or replaces an entry of the list.
func (p *Platform) SetInstance(in Instance) error {
	if in.ID == "" {
		return fmt.Errorf("set instance: %w", ErrBadInstance)
	}
	p.changeList(func(byID map[string]Instance) { byID[in.ID] = in })
	return nil
}

// RemoveInstance takes an entry off the list.
func (p *Platform) RemoveInstance(id string) {
	p.changeList(func(byID map[string]Instance) { delete(byID, id) })
}

// SetOutage makes the platform fail, or ends that.
func (p *Platform) SetOutage(o Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = o
	p.wake()
}

// SetStale makes the platform serve from now on what it serves at this moment,
// or ends that.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = p.snapshot()
	}
	p.wake()
}

// Mark remembers what the platform serves at this moment.
func (p *Platform) Mark() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.marked = p.snapshot()
}

// SetBehind makes the platform serve what was marked, as a replica that never
// heard of later changes, or ends that. Without a mark it does nothing.
func (p *Platform) SetBehind(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = p.marked
	}
	p.wake()
}

// snapshot returns what readers see. p.mu is held.
func (p *Platform) snapshot() *frozenView {
	list, _ := p.visibleList(time.Now())
	return &frozenView{values: p.visibleValues(), list: list}
}

// SetLag changes how far the list of instances trails.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
	p.wake()
}

// Reads returns how many reads the platform has been asked for, and how fast.
func (p *Platform) Reads() Reads { return p.reads.report(time.Now()) }

// changeList applies one change to the newest list and keeps older lists for
// as long as the lag may still show them.
func (p *Platform) changeList(change func(map[string]Instance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	last := p.lists[len(p.lists)-1]
	next := listView{version: last.version + 1, since: now, byID: maps.Clone(last.byID)}
	change(next.byID)
	p.lists = append(p.lists, next)
	for len(p.lists) > 1 && now.Sub(p.lists[1].since) > 2*p.lag+time.Minute {
		p.lists = p.lists[1:]
	}
	p.wake()
}

// visibleList returns the list that readers see, and how long until the next
// one is due; 0 when none is. p.mu is held.
func (p *Platform) visibleList(now time.Time) (listView, time.Duration) {
	if p.frozen != nil {
		return p.frozen.list, 0
	}
	for i := len(p.lists) - 1; i > 0; i-- {
		if !p.lists[i].since.Add(p.lag).After(now) {
			return p.lists[i], p.dueIn(i+1, now)
		}
	}
	return p.lists[0], p.dueIn(1, now)
}

// dueIn returns how long until list i becomes visible; 0 when there is none.
func (p *Platform) dueIn(i int, now time.Time) time.Duration {
	if i >= len(p.lists) {
		return 0
	}
	return p.lists[i].since.Add(p.lag).Sub(now)
}

// visibleValues returns the documents that readers see. p.mu is held.
func (p *Platform) visibleValues() valueTable {
	if p.frozen != nil {
		return p.frozen.values
	}
	return p.values
}

// wake lets every waiting watch look again. p.mu is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// parseInstance reads one entry of the list.
func parseInstance(id string, body []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(body, &in); err != nil {
		return in, fmt.Errorf("parse instance: %w", err)
	}
	in.ID = id
	return in, nil
}

// quiet drops what fasthttp logs about broken connections, which tests cause
// on purpose.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}
