package node_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

// coldDaemon is a daemon whose upstream accepts perSecond requests per second while it is
// cold, and answers probes as set.
type coldDaemon struct {
	*directDaemon
	reading measure.Reading
	err     error
	runs    int
	refused int
	probes  int
	next    int
	logs    []string
	due     time.Duration
}

func newColdDaemon(t *testing.T, perSecond float64, assumed ...config.Action) *coldDaemon {
	d := &coldDaemon{directDaemon: newDirectDaemon(t, assumed...)}
	d.document("routes", fmt.Sprintf(`{"kind":"routes","revision":1,
	 "services":[{"service":"faults","coldMs":3000,"coldPerSecond":%g}],
	 "routes":[{"name":"order","host":"h","prefix":"/order/","timeoutMs":1000,"targetMs":900,"parts":%s}]}`, perSecond, onlyFaults))
	d.update(node.DocumentsComplete{})
	d.listUpstream("i-1", 0)
	return d
}

func (d *coldDaemon) listUpstream(incarnation string, cold time.Duration) {
	e := membership.StoreEntry{Incarnation: 5, State: membership.Live}
	e.ID, e.UpstreamIncarnation, e.Service, e.AvailabilityZone, e.Slots = "self:2", incarnation, "faults", "a", 15
	if cold > 0 {
		e.ColdUntil = d.now.Add(cold)
	}
	d.do(d.update(node.InstancesListed{List: []membership.StoreEntry{e}, Revision: 1}))
}

// do carries out commands: each run ends at once, and each probe gets its response.
func (d *coldDaemon) do(commands []node.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case node.Run:
			d.runs++
			d.do(d.update(node.RunEnded{ID: c.ID, Outcome: call.Run, Status: 200, Latency: 10 * time.Millisecond}))
		case node.Refuse:
			d.refused++
		case node.Probe:
			d.probes++
			d.do(d.update(node.ProbeEnded{Reading: d.reading, Err: d.err}))
		case node.GateAfter:
			d.due = c.After
		case node.LogEntry:
			d.logs = append(d.logs, c.Text)
		}
	}
}

// second passes 50 requests within a second, and returns how many were run.
func (d *coldDaemon) second() int {
	before := d.runs
	for range 50 {
		d.next++
		d.do(d.update(node.PeerRequest{Target: "self:2", From: "b:2", Request: call.Request{
			ID: fmt.Sprint(d.next), Service: "faults", Host: "h", Path: "/order/1", Deadline: d.now.Add(time.Second),
		}}))
		d.advance(20 * time.Millisecond)
		d.do(d.update(node.Tick{}))
	}
	return d.runs - before
}

var warmReading = measure.Reading{Warmth: measure.Warm, PacePercent: 100}

func TestColdUpstreamIsLimited(t *testing.T) {
	cold := measure.Reading{Warmth: measure.NotWarm, ColdLeft: time.Second, PacePercent: 200}
	unstated := measure.Reading{Warmth: measure.WarmthUnstated, PacePercent: 100}
	tests := map[string]struct {
		do      func(*coldDaemon)
		limited bool
	}{
		"found warm":                          {func(d *coldDaemon) {}, false},
		"found cold":                          {func(d *coldDaemon) { d.reading = cold }, true},
		"probes fail":                         {func(d *coldDaemon) { d.err = errors.New("lost") }, true},
		"response cannot be used":             {func(d *coldDaemon) { d.reading.Warmth = measure.WarmthUnknown }, true},
		"not stated, not listed as cold":      {func(d *coldDaemon) { d.reading = unstated; d.advance(2 * time.Second) }, false},
		"not stated, listed as cold":          {func(d *coldDaemon) { d.reading = unstated; d.listUpstream("i-1", 5*time.Second) }, true},
		"not stated by a new one":             {func(d *coldDaemon) { d.reading = unstated; d.listUpstream("i-2", 0) }, false},
		"not stated by a new one, listed so":  {func(d *coldDaemon) { d.reading = unstated; d.listUpstream("i-2", 5*time.Second) }, true},
		"new one listed, response by old one": {func(d *coldDaemon) { d.err = errors.New("lost"); d.listUpstream("i-2", 0) }, true},
		"new one found warm":                  {func(d *coldDaemon) { d.reading.UpstreamIncarnation = "i-2"; d.listUpstream("i-2", 0) }, false},
	}
	for name, test := range tests {
		for mode, actions := range map[string][]config.Action{
			"paced": {config.Probe, config.LoadAware, config.Shed}, "actions off": nil,
		} {
			t.Run(name+", "+mode, func(t *testing.T) {
				d := newColdDaemon(t, 13, actions...)
				d.reading = warmReading
				d.second()
				d.second()
				test.do(d)
				d.second()
				got := d.second()
				state := d.Load(d.now).State
				if test.limited && (got < 9 || got > 13 || state == balance.Serving) || !test.limited && (got < 48 || state != balance.Serving) {
					t.Errorf("%d of 50 requests were run, reported as %s, want limited = %v to 13", got, state, test.limited)
				}
			})
		}
	}
}

// TestNoColdLimit guards against a change for services without coldPerSecond.
func TestNoColdLimit(t *testing.T) {
	d := newColdDaemon(t, 0, config.Probe, config.LoadAware, config.Shed)
	d.reading = measure.Reading{Warmth: measure.NotWarm, ColdLeft: time.Second, PacePercent: 100}
	if got := d.second(); got < 48 || d.Load(d.now).State != balance.Serving || d.Status(d.now).Cold != nil {
		t.Errorf("%d of 50 requests were run, status %+v, want all and no limit", got, d.Status(d.now).Cold)
	}
}

// TestColdReport checks what others and operators learn: the slots that the rate keeps
// busy, the status, and the begin and the end of the limit in the log.
func TestColdReport(t *testing.T) {
	d := newColdDaemon(t, 13, config.Probe, config.LoadAware)
	d.reading = measure.Reading{Warmth: measure.NotWarm, ColdLeft: time.Second, PacePercent: 200}
	d.second()
	load, status := d.Load(d.now), d.Status(d.now).Cold
	if load.State != balance.Cold || load.Slots != 1 || status == nil || !status.InForce || status.LimitedStarts == 0 {
		t.Errorf("got %+v, %+v, want cold with 1 slot, as 13 calls of 10 ms at 200 %% of the pace need", load, status)
	}
	d.reading = warmReading
	d.second()
	d.second()
	if load := d.Load(d.now); load.State != balance.Serving || load.Slots != 15 {
		t.Errorf("got %+v once the upstream is warm, want serving with 15 slots", load)
	}
	limited, free := 0, 0
	for _, text := range d.logs {
		switch text {
		case "The upstream is not known to be warm. Requests to it are limited.":
			limited++
		case "The upstream is warm. Requests to it are not limited.":
			free++
		}
	}
	if limited != 1 || free != 1 {
		t.Errorf("logged the begin %d times and the end %d times, want once each", limited, free)
	}
}

// TestColdStartIsScheduled guards against a request that waits for the next tick although
// the limit lets it start earlier.
func TestColdStartIsScheduled(t *testing.T) {
	d := newColdDaemon(t, 13, config.Probe, config.LoadAware)
	d.reading = measure.Reading{Warmth: measure.NotWarm, ColdLeft: time.Second, PacePercent: 200}
	d.second()
	d.advance(time.Second)
	d.do(d.update(node.Tick{}))
	d.advance(time.Second)
	d.due = 0
	for i := range 6 {
		d.do(d.update(node.PeerRequest{Target: "self:2", From: "b:2", Request: call.Request{
			ID: fmt.Sprint("x", i), Service: "faults", Host: "h", Deadline: d.now.Add(time.Second),
		}}))
	}
	before := d.runs
	d.advance(d.due)
	if d.do(d.update(node.GateDue{})); d.due == 0 || d.due > 80*time.Millisecond || d.runs == before {
		t.Errorf("%d requests were run, and %d after another %v, want one more within 80 ms", before, d.runs, d.due)
	}
}
