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

// MaxValueBytes is the maximum size of a document.
const MaxValueBytes = 1 << 20

// Errors returned when documents or instances are set.
var (
	ErrValueTooLarge = errors.New("value larger than a megabyte")
	ErrBadInstance   = errors.New("instance without id")
)

// Outage is a failure mode of the platform.
type Outage string

// The failure modes: reads succeed, fail with status 503, or hang.
const (
	OutageOff    Outage = "off"
	OutageRefuse Outage = "refuse"
	OutageHang   Outage = "hang"
)

// Instance is one entry of the platform's instance list.
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
	// Listen is a loopback address; empty selects a free port.
	Listen string
	// ReadTime is the minimum duration of each read; 0 means 2 ms.
	ReadTime time.Duration
	// Lag is the delay until readers see a change to the instance list.
	Lag time.Duration
}

// Platform is a stand-in for the platform's read-and-watch service. Readers use
// /v1; tests change the served data through /admin or the methods.
type Platform struct {
	listener *Listener
	server   *fasthttp.Server
	readTime time.Duration
	reads    *readCounter
	closed   chan struct{}

	mu      sync.Mutex
	changed chan struct{}
	values  valueTable
	lists   []instanceList
	lag     time.Duration
	outage  Outage
	frozen  *servedState
	saved   *servedState
}

// valueTable holds the documents under one increasing version.
type valueTable struct {
	version uint64
	byKey   map[string]value
}

type value struct {
	version uint64
	body    []byte
}

// instanceList is one version of the instance list, valid from the time since.
type instanceList struct {
	version uint64
	since   time.Time
	byID    map[string]Instance
}

// servedState is the data that the platform served at one point in time.
type servedState struct {
	values valueTable
	list   instanceList
}

// NewPlatform starts a platform stand-in.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	l, err := Listen(cfg.Listen, 0)
	if err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	if cfg.ReadTime == 0 {
		cfg.ReadTime = 2 * time.Millisecond
	}
	p := &Platform{
		listener: l,
		readTime: cfg.ReadTime,
		reads:    newReadCounter(time.Now()),
		closed:   make(chan struct{}),
		changed:  make(chan struct{}),
		values:   valueTable{byKey: map[string]value{}},
		lists:    []instanceList{{byID: map[string]Instance{}}},
		lag:      cfg.Lag,
		outage:   OutageOff,
	}
	p.server = &fasthttp.Server{
		Handler:               p.handle,
		MaxRequestBodySize:    MaxValueBytes + 1024,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Addr returns the address that the platform listens on.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close stops the platform and resets all connections to it.
func (p *Platform) Close() {
	close(p.closed)
	p.listener.Kill()
}

// Publish sets the document for a key.
func (p *Platform) Publish(key string, body []byte) error {
	if len(body) > MaxValueBytes {
		return fmt.Errorf("publish %s: %w", key, ErrValueTooLarge)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := valueTable{version: p.values.version + 1, byKey: maps.Clone(p.values.byKey)}
	next.byKey[key] = value{version: next.version, body: append([]byte(nil), body...)}
	p.values = next
	p.notifyWatchers()
	return nil
}

// SetInstance adds or replaces an entry of the instance list.
func (p *Platform) SetInstance(in Instance) error {
	if in.ID == "" {
		return fmt.Errorf("set instance: %w", ErrBadInstance)
	}
	p.changeList(func(byID map[string]Instance) { byID[in.ID] = in })
	return nil
}

// RemoveInstance removes an entry from the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.changeList(func(byID map[string]Instance) { delete(byID, id) })
}

// SetOutage sets the failure mode. OutageOff ends an outage.
func (p *Platform) SetOutage(o Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = o
	p.notifyWatchers()
}

// SetStale freezes the served data in its current state, or resumes serving
// current data.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = p.snapshot()
	}
	p.notifyWatchers()
}

// SaveState saves the currently served data for ServeSavedState.
func (p *Platform) SaveState() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = p.snapshot()
}

// ServeSavedState makes the platform serve the data saved by SaveState, like a
// replica that never received later changes, or resumes serving current data. If
// nothing was saved, the platform serves current data.
func (p *Platform) ServeSavedState(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if on {
		p.frozen = p.saved
	}
	p.notifyWatchers()
}

// snapshot returns the data visible to readers. p.mu must be held.
func (p *Platform) snapshot() *servedState {
	list, _ := p.visibleList(time.Now())
	return &servedState{values: p.visibleValues(), list: list}
}

// SetLag changes the delay until readers see a change to the instance list.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
	p.notifyWatchers()
}

// Reads returns the number and rate of reads.
func (p *Platform) Reads() ReadStats { return p.reads.report(time.Now()) }

// changeList applies a change to the newest list and keeps older lists as long
// as they may be visible because of the lag.
func (p *Platform) changeList(change func(map[string]Instance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	last := p.lists[len(p.lists)-1]
	next := instanceList{version: last.version + 1, since: now, byID: maps.Clone(last.byID)}
	change(next.byID)
	p.lists = append(p.lists, next)
	for len(p.lists) > 1 && now.Sub(p.lists[1].since) > 2*p.lag+time.Minute {
		p.lists = p.lists[1:]
	}
	p.notifyWatchers()
}

// visibleList returns the list that readers see, and the time until the next one
// becomes visible, or 0 if there is none. p.mu must be held.
func (p *Platform) visibleList(now time.Time) (instanceList, time.Duration) {
	if p.frozen != nil {
		return p.frozen.list, 0
	}
	for i := len(p.lists) - 1; i > 0; i-- {
		if !p.lists[i].since.Add(p.lag).After(now) {
			return p.lists[i], p.visibleIn(i+1, now)
		}
	}
	return p.lists[0], p.visibleIn(1, now)
}

// visibleIn returns the time until list i becomes visible, or 0 if there is no
// such list. p.mu must be held.
func (p *Platform) visibleIn(i int, now time.Time) time.Duration {
	if i >= len(p.lists) {
		return 0
	}
	return p.lists[i].since.Add(p.lag).Sub(now)
}

// visibleValues returns the documents that readers see. p.mu must be held.
func (p *Platform) visibleValues() valueTable {
	if p.frozen != nil {
		return p.frozen.values
	}
	return p.values
}

// notifyWatchers makes all waiting watches check for changes. p.mu must be held.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// parseInstance parses an entry of the instance list.
func parseInstance(id string, body []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(body, &in); err != nil {
		return in, fmt.Errorf("parse instance: %w", err)
	}
	in.ID = id
	return in, nil
}

// discardLogger discards fasthttp's log messages about broken connections, which
// tests cause on purpose.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}
