// Package membership keeps what one daemon knows of all instances: who is
// live, who is leaving and who is gone.
//
// Knowledge comes from four sources: the platform's list, which lags and knows
// no incarnations; records that other daemons pass on; words heard directly
// from an instance; and the signals of the daemon's own upstream. Records form
// a join-semilattice (Shapiro et al., "Conflict-free Replicated Data Types",
// 2011), so they can be merged in any order, any number of times. A record
// that wrongly calls a running instance gone is refuted by that instance alone,
// with a higher sequence, as in SWIM (Das, Gupta and Motivala, 2002).
//
//	view := membership.New(membership.Config{Self: self, Incarnation: 7, Started: now})
//	for _, record := range view.MergeList(entries, version, now) {
//		// pass the changed record on to other daemons
//	}
//	for _, record := range view.Serving("faults") {
//		// a live upstream
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
	DefaultListLag       = 30 * time.Second
	DefaultTombstoneLife = 24 * time.Hour
	DefaultSilence       = 30 * time.Second
	DefaultPauseLimit    = 2 * time.Second
	DefaultWakeLimit     = 10 * time.Second
	DefaultDoubtShare    = 0.5
)

// Config holds the settings of a View. Zero durations and shares take the
// defaults.
type Config struct {
	// Self is this daemon's own instance.
	Self Instance
	// Incarnation names this life of the daemon. It is above zero and above
	// that of any earlier life of the same instance ID.
	Incarnation uint64
	// Started is when this life of the daemon began.
	Started time.Time
	// ListLag is how far the platform's list may trail the truth.
	ListLag time.Duration
	// TombstoneLife is how long a gone instance is remembered. It exceeds the
	// list's lag, the longest pause of a process and the longest partition.
	TombstoneLife time.Duration
	// Silence is how long a neighbour may say nothing before it counts as
	// silent.
	Silence time.Duration
	// PauseLimit is the gap between two calls of Tick that means the process
	// was paused.
	PauseLimit time.Duration
	// WakeLimit bounds how long a paused process waits for fresh word. After
	// that it is cut off rather than stale.
	WakeLimit time.Duration
	// DoubtShare is the share of neighbours that may go silent, or of live
	// instances that may leave the list at once, before the daemon doubts
	// itself.
	DoubtShare float64
}

func (c Config) withDefaults() Config {
	setDuration(&c.ListLag, DefaultListLag)
	setDuration(&c.TombstoneLife, DefaultTombstoneLife)
	setDuration(&c.Silence, DefaultSilence)
	setDuration(&c.PauseLimit, DefaultPauseLimit)
	setDuration(&c.WakeLimit, DefaultWakeLimit)
	if c.DoubtShare == 0 {
		c.DoubtShare = DefaultDoubtShare
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View is one daemon's knowledge of all instances.
type View struct {
	config  Config
	members map[string]*member
	// all holds the members in the order of their IDs, so that nothing depends
	// on the order of a map.
	all        group
	groups     map[string]*group
	generation uint64

	// listVersion is the newest version of the platform's list merged.
	listVersion uint64
	// held is true while the list dropped too many instances to be believed.
	held bool
	// ordered is true once this daemon was told to leave for good.
	ordered bool

	lastTick  time.Time
	lastSweep time.Time
	wokeAt    time.Time
	paused    bool

	overlay overlay
}

// member is one instance as this daemon knows it.
type member struct {
	Record
	hash uint64
	// since is when the present state was learned; known is when the instance
	// was last learned to be live, with the list's version at that moment. What
	// the list says may be of the time before.
	since        time.Time
	known        time.Time
	knownVersion uint64
	// heard is the last direct word of the present incarnation, or zero.
	heard time.Time
	// listed tells whether the newest list has the instance; listedLive
	// whether some list since known had it as live.
	listed     bool
	listedLive bool
	// absent is when the list was first seen without the instance, or zero.
	absent time.Time
	// refuted is true once the instance itself denied being gone.
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

// Superseded reports whether a newer incarnation of this daemon's own ID is
// known. A superseded daemon must start no work.
func (v *View) Superseded() bool { return v.self().Incarnation != v.config.Incarnation }

// Lookup returns the record of an instance, gone ones included.
func (v *View) Lookup(id string) (Record, bool) {
	m, ok := v.members[id]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Len returns the number of instances known, gone ones included.
func (v *View) Len() int { return len(v.members) }

// Generation changes with every change of any record.
func (v *View) Generation() uint64 { return v.generation }

// ListVersion returns the newest version of the platform's list merged.
func (v *View) ListVersion() uint64 { return v.listVersion }

func (v *View) self() *member { return v.members[v.config.Self.ID] }

// store puts a record in place of what was known of its instance.
func (v *View) store(r Record, now time.Time) *member {
	m, ok := v.members[r.ID]
	if !ok {
		m = &member{hash: xxhash.Sum64String(r.ID)}
		m.ID = r.ID
		v.members[r.ID] = m
		v.all.add(m)
	}
	if !ok || m.Incarnation != r.Incarnation {
		m.heard, m.refuted = time.Time{}, false
	}
	if !ok || m.Incarnation != r.Incarnation || m.State != Live && r.State == Live {
		m.known, m.knownVersion = now, v.listVersion
		m.absent, m.listedLive = time.Time{}, false
	}
	if !ok || m.State != r.State {
		m.since = now
	}
	v.regroup(m, r, ok)
	m.Record = r
	v.generation++
	return m
}

// remove forgets an instance.
func (v *View) remove(m *member) {
	v.groups[m.Service].remove(m)
	v.all.remove(m)
	delete(v.members, m.ID)
	v.generation++
}
