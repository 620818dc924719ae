package node

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
)

const (
	// probeUse is the part of the bound on probes that is spent.
	probeUse = 0.8
	// paceChange is the factor by which the pace must change before other
	// daemons are told at once.
	paceChange = 1.4
	// smallZone is the number of other daemons in a zone up to which all are told
	// of the load. In a larger one those are told that sent a request lately: what
	// the others send next is as likely to come when the pace has changed again.
	smallZone = 4
	// callerLife is how long a daemon that sent requests is told of the load,
	// about two slow spells.
	callerLife = 500 * time.Millisecond
	// maxCallers bounds the daemons that are remembered.
	maxCallers = 64
	// muteAfter is the number of answers in a row without a pace after which the
	// upstream is taken to tell none.
	muteAfter = 3
	// workWeight is the inverse of the share of one run in a route's work.
	workWeight = 16
	// loadChange is the number of calls more or less, and loadGather the least
	// time, after which the load is told though the pace is the same.
	loadChange = 2
	loadGather = 100 * time.Millisecond
	// minTold is the least time between two reports of the load to others.
	minTold = 2 * time.Millisecond
)

// noteMute takes in whether the upstream tells its pace. One that does not, in a
// few answers, is not asked again: its next answer that does is believed.
func (n *Node) noteMute(pacePercent int) []Command {
	before := n.mute()
	n.paceless++
	if pacePercent > 0 {
		n.paceless = 0
	}
	if n.mute() == before {
		return nil
	}
	text := "The upstream tells its pace. Requests start by it."
	if n.mute() {
		text = "The upstream does not tell its pace. Requests start without."
	}
	return []Command{Note{Part: "measure", Text: text}}
}

// mute reports whether the own upstream does not tell its pace.
func (n *Node) mute() bool { return n.paceless >= muteAfter }

// paced reports whether requests are started by the upstream's present pace.
func (n *Node) paced() bool {
	return n.direct() && n.config.Allowed(config.Probe) && n.config.Allowed(config.LoadAware)
}

// measureNow carries out the gate's wish for a reading.
func (n *Node) measureNow(now time.Time) []Command {
	if n.mute() {
		return n.admit(n.gate.Unmeasured(now), now)
	}
	n.meter.SetBudget(probeUse*n.cfg.ProbesPerSecond, n.config.Allowed(config.Probe), now)
	if n.meter.Ask(now) {
		return []Command{Probe{}}
	}
	if n.meter.UnderWay() {
		return nil
	}
	return n.admit(n.gate.Unmeasured(now), now)
}

// heardOwn takes in what the own upstream says of itself with an answer.
func (n *Node) heardOwn(reading measure.Reading, now time.Time) []Command {
	out := append(n.noteLife(reading.Upstream, now), n.noteMute(reading.PacePercent)...)
	if reading.PacePercent == 0 {
		return append(out, n.admit(n.gate.Unmeasured(now), now)...)
	}
	out = append(out, n.admit(n.gate.Measured(reading.PacePercent, now), now)...)
	out = append(out, n.watchPace(now)...)
	return append(out, n.tellZone(now)...)
}

// watchPace looks at a slow upstream again before long.
func (n *Node) watchPace(now time.Time) []Command {
	at, slow := n.gate.RemeasureAt(now)
	if !slow || n.gateDue {
		return nil
	}
	n.gateDue = true
	return []Command{WakeGate{After: at.Sub(now)}}
}

// gateWoken asks for another reading of a slow upstream.
func (n *Node) gateWoken(now time.Time) []Command {
	n.gateDue = false
	out := n.admit(n.gate.Remeasure(now), now)
	return append(out, n.watchPace(now)...)
}

// tellZone tells the daemons of its availability zone when the pace changes, and
// now and then when the load does. The others are told with their answers: links
// between zones are dear, and one daemon there sends less often than the pace
// changes.
func (n *Node) tellZone(now time.Time) []Command {
	pace, _ := n.gate.Pace()
	load := n.Load(now)
	since := now.Sub(n.paceToldAt)
	calls := load.InFlight + load.Queued
	moved := max(calls-n.callsTold, n.callsTold-calls) >= loadChange && since >= loadGather
	if pace == 0 || since < minTold || similar(pace, n.paceTold) && !moved {
		return nil
	}
	n.paceTold, n.callsTold, n.paceToldAt = pace, calls, now
	text := loadText{Load: string(load.Append(nil))}
	var out []Command
	for _, id := range n.listeners(now) {
		out = append(out, n.send(id, kindLoad, text)...)
	}
	return out
}

// listeners returns the daemons to tell: all of the own availability zone or, in
// a large one, those that lately sent requests here.
func (n *Node) listeners(now time.Time) []string {
	var zone []string
	for _, r := range n.view.All() {
		if r.ID != n.self() && r.AvailabilityZone == n.cfg.Self.AvailabilityZone && r.State != membership.Gone {
			zone = append(zone, r.ID)
		}
	}
	if len(zone) <= smallZone {
		return zone
	}
	return slices.DeleteFunc(zone, func(id string) bool {
		last, known := n.callers[id]
		return !known || now.Sub(last) > callerLife
	})
}

func similar(a, b int) bool {
	low, high := float64(min(a, b)), float64(max(a, b))
	return low > 0 && high < paceChange*low
}

// remember notes a daemon that sends requests here.
func (n *Node) remember(from string, now time.Time) {
	if from == n.self() {
		return
	}
	if _, known := n.callers[from]; !known && len(n.callers) >= maxCallers {
		maps.DeleteFunc(n.callers, func(_ string, last time.Time) bool { return now.Sub(last) > callerLife })
		if len(n.callers) >= maxCallers {
			return
		}
	}
	n.callers[from] = now
}

// loadHeard takes in the load that another daemon tells of its upstream.
func (n *Node) loadHeard(from string, body json.RawMessage, now time.Time) {
	var text loadText
	if json.Unmarshal(body, &text) != nil {
		return
	}
	load, err := balance.ParseLoad([]byte(text.Load))
	record, ok := n.view.Lookup(from)
	if err != nil || !ok {
		return
	}
	if service, ok := n.config.Service(record.Service); ok {
		n.picker(service).Heard(from, load, now)
	}
}

// learnWork lets one run count towards what its route takes at the usual pace.
func (n *Node) learnWork(run *runState, ran time.Duration) time.Duration {
	if run.pace == 0 || run.request.Route == "" {
		return ran
	}
	usual := ran * 100 / time.Duration(run.pace)
	n.worked(run.request.Route, usual)
	return usual
}

// worked lets one run at the usual pace count towards its route's work.
func (n *Node) worked(route string, usual time.Duration) {
	work, known := n.work[route]
	switch {
	case !known && len(n.work) >= maxRoutesLearned:
		return
	case !known:
		work = usual
	}
	n.work[route] = work + (usual-work)/workWeight
}

// workGuess is the part of the time to its target that a request is taken to need
// while nothing is known of its route.
const workGuess = 4

// workOf returns what a request is expected to take at the usual pace.
func (n *Node) workOf(r call.Request, now time.Time) time.Duration {
	if work, known := n.work[r.Route]; known {
		return work
	}
	if r.Target.IsZero() {
		return 0
	}
	return max(r.Target.Sub(now)/workGuess, 0)
}

// maxRoutesLearned bounds the routes whose work is remembered.
const maxRoutesLearned = 1024

// noteCrowding tells the log when slots begin or end to be left free because the
// upstream is slower when it is nearly full.
func (n *Node) noteCrowding(now time.Time) []Command {
	found := n.gate.Crowding(now)
	if found == n.crowding {
		return nil
	}
	n.crowding = found
	text := "The upstream is slower when nearly full. Slots are left free."
	if found == 0 {
		text = "All slots of the upstream are tried again."
	}
	l := n.gate.Load(now)
	return []Command{Note{Part: "admit", Text: text, Fields: []any{"factor", found, "slots", l.Slots, "running", l.InFlight}}}
}

// gateLimits returns the limits of the own gate.
func (n *Node) gateLimits(service *config.Service, now time.Time) admit.Limits {
	l := service.Limits()
	want := admit.Limits{Slots: l.Slots(), Queue: l.Queue(), Shed: n.config.Allowed(config.Shed)}
	if slots := n.view.Self().Slots; slots > 0 {
		want.Slots, want.Easy, want.Queue = slots, max(slots*easyPercent/100, 1), queuePerSlot*slots
	}
	want.Paced = n.paced()
	want.Cold = now.Before(n.view.Self().ColdUntil)
	return want
}

const (
	// queuePerSlot bounds the queue of an upstream whose slots the list tells.
	queuePerSlot = 2
	// easyPercent is the part of the slots up to which no upstream slows down for
	// being nearly full.
	easyPercent = 80
)
