// Package membership tracks what one daemon knows about all instances: which
// are live, leaving or gone.
//
// The information has four sources: the platform's list, which lags and has no
// incarnations; records propagated by other daemons; messages received directly
// from an instance; and signals of the local upstream. Records form a
// join-semilattice (Shapiro et al., "Conflict-free Replicated Data Types",
// 2011), so they can be merged in any order and any number of times. A record
// that wrongly reports a running instance as gone is refuted only by that
// instance, with a higher sequence, as in SWIM (Das, Gupta and Motivala, 2002).
//
//	view := membership.New(membership.Config{Self: self, Incarnation: 7, Started: now})
//	for _, record := range view.MergeList(entries, version, now) {
//		// propagate the changed record to other daemons
//	}
//	for _, record := range view.Serving("faults") {
//		// use the live instance
//	}
//
// A View reads no clock and is not safe for concurrent use.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of Config.
const (
	DefaultListLag        = 30 * time.Second
	DefaultTombstoneTTL   = 24 * time.Hour
	DefaultSilenceTimeout = 30 * time.Second
	DefaultPauseLimit     = 2 * time.Second
	DefaultResumeTimeout  = 10 * time.Second
	DefaultMaxLostShare   = 0.5
)

// Config holds the settings of a View. Zero durations and shares select the
// defaults.
type Config struct {
	// Self is this daemon's own instance.
	Self Instance
	// Incarnation identifies this run of the daemon. It must be greater than
	// zero and than that of any earlier run with the same instance ID.
	Incarnation uint64
	// Started is the start time of this incarnation.
	Started time.Time
	// ListLag is the maximum delay of the platform's list behind the actual
	// state of the fleet.
	ListLag time.Duration
	// TombstoneTTL is how long a gone instance is remembered. It must exceed
	// ListLag, the longest process pause and the longest partition.
	TombstoneTTL time.Duration
	// SilenceTimeout is how long an instance may send no message before it
	// counts as silent.
	SilenceTimeout time.Duration
	// PauseLimit is the interval between two calls of Tick above which the
	// process counts as having been paused.
	PauseLimit time.Duration
	// ResumeTimeout bounds how long a resumed process waits for current
	// information. After that it counts as isolated rather than stale.
	ResumeTimeout time.Duration
	// MaxLostShare is the share of neighbours that may be silent, or of live
	// instances that may leave the list at once, before the daemon considers
	// its own view unreliable.
	MaxLostShare float64
}

func (c Config) withDefaults() Config {
	defaultDuration(&c.ListLag, DefaultListLag)
	defaultDuration(&c.TombstoneTTL, DefaultTombstoneTTL)
	defaultDuration(&c.SilenceTimeout, DefaultSilenceTimeout)
	defaultDuration(&c.PauseLimit, DefaultPauseLimit)
	defaultDuration(&c.ResumeTimeout, DefaultResumeTimeout)
	if c.MaxLostShare == 0 {
		c.MaxLostShare = DefaultMaxLostShare
	}
	return c
}

func defaultDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View is one daemon's view of all instances.
type View struct {
	config  Config
	members map[string]*member
	// all holds the members sorted by ID, so that nothing depends on map
	// iteration order.
	all        group
	groups     map[string]*group
	generation uint64

	// listVersion is the newest merged version of the platform's list.
	listVersion uint64
	// listImplausible is true while the list lacks too many live instances to
	// be trusted.
	listImplausible bool
	// leaveOrdered is true once this daemon was ordered to leave permanently.
	leaveOrdered bool

	lastTick  time.Time
	lastSweep time.Time
	resumedAt time.Time
	paused    bool

	overlay overlay
}

// member is what this daemon knows about one instance.
type member struct {
	Record
	hash uint64
	// stateSince is when the current state became known. knownSince is when
	// the incarnation, or its return to live, became known, and
	// knownListVersion the list version merged by then: the list may describe
	// an earlier time.
	stateSince       time.Time
	knownSince       time.Time
	knownListVersion uint64
	// lastReceived is the time of the last direct message from the current
	// incarnation, or zero.
	lastReceived time.Time
	// listed is true if the newest list has the instance; listedLive if any
	// list since knownSince had it as live.
	listed     bool
	listedLive bool
	// absentSince is when the list was first seen without the instance, or
	// zero.
	absentSince time.Time
	// refuted is true once the instance itself refuted a report that it is
	// gone.
	refuted bool
}

// New returns a View that knows only the daemon's own instance, as live.
func New(config Config) *View {
	v := &View{
		config:  config.withDefaults(),
		members: map[string]*member{},
		groups:  map[string]*group{},
	}
	v.store(Record{
		Instance:    config.Self,
		Incarnation: config.Incarnation,
		State:       Live,
	}, config.Started)
	return v
}

// Self returns the daemon's own record.
func (v *View) Self() Record { return v.self().Record }

// Superseded reports whether a newer incarnation of this daemon's ID is known.
// A superseded daemon must start no work.
func (v *View) Superseded() bool { return v.self().Incarnation != v.config.Incarnation }

// Lookup returns the record of an instance, even of a gone one.
func (v *View) Lookup(id string) (Record, bool) {
	m, ok := v.members[id]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Len returns the number of known instances, including gone ones.
func (v *View) Len() int { return len(v.members) }

// Generation returns a number that changes whenever any record changes.
func (v *View) Generation() uint64 { return v.generation }

// ListVersion returns the newest merged version of the platform's list.
func (v *View) ListVersion() uint64 { return v.listVersion }

func (v *View) self() *member { return v.members[v.config.Self.ID] }

// store adds a record or replaces the previous one of its instance.
func (v *View) store(r Record, now time.Time) *member {
	m, ok := v.members[r.ID]
	if !ok {
		m = &member{hash: xxhash.Sum64String(r.ID)}
		m.ID = r.ID
		v.members[r.ID] = m
		v.all.add(m)
	}
	if !ok || m.Incarnation != r.Incarnation {
		m.lastReceived, m.refuted = time.Time{}, false
	}
	if !ok || m.Incarnation != r.Incarnation || m.State != Live && r.State == Live {
		m.knownSince, m.knownListVersion = now, v.listVersion
		m.absentSince, m.listedLive = time.Time{}, false
	}
	if !ok || m.State != r.State {
		m.stateSince = now
	}
	v.regroup(m, r, ok)
	m.Record = r
	v.generation++
	return m
}

// remove deletes a member from the view.
func (v *View) remove(m *member) {
	v.groups[m.Service].remove(m)
	v.all.remove(m)
	delete(v.members, m.ID)
	v.generation++
}
