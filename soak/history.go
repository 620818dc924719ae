package soak

import (
	"fmt"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

// The path prefixes of requests. The configuration decides which service gets the
// requests under movingPath.
const (
	lookupPath = "/look/"
	orderPath  = "/order/"
	movingPath = "/moving/"
)

// exchange is one send of a request and its result.
type exchange struct {
	request platformtest.Request
	result  platformtest.Result
	// origin is the service of the machine that the request was sent to.
	origin     string
	sent, done time.Time
}

// configuration is the service that the moving route leads to, from a point in time
// on.
type configuration struct {
	service string
	at      time.Time
}

// history records what callers and upstreams observed and what operators did.
type history struct {
	mu        sync.Mutex
	exchanges []exchange
	configs   []configuration
	// drainStarts holds the time at which each upstream was listed as draining, by ID.
	drainStarts map[string]time.Time
	// zones holds the availability zone of each upstream, by ID.
	zones         map[string]string
	switchedOffAt time.Time
	// periods are the events with the times at which they began and ended.
	periods []period
	// faultsEnded is the time at which the last event ended.
	faultsEnded time.Time
	runs        []platformtest.Run
	// coldArrivals counts the requests and probes that arrived at cold upstreams, and
	// coldMost is the largest number of them at one upstream within a second.
	coldArrivals, coldMost int
	// memoryMost is the most resident memory of a daemon, in MB, memoryDaemon that daemon, and
	// memoryBound what is allowed, or 0 without a bound.
	memoryMost, memoryBound int
	memoryDaemon            string
}

func newHistory() *history {
	return &history{drainStarts: map[string]time.Time{}, zones: map[string]string{}}
}

func (h *history) addExchange(e exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges = append(h.exchanges, e)
}

func (h *history) addConfig(service string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, configuration{service, now})
}

func (h *history) addDrain(upstream string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainStarts[upstream] = now
}

func (h *history) addWorker(upstream, zone string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zones[upstream] = zone
}

func (h *history) setSwitchedOff(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.switchedOffAt = now
}

// Promise is a guarantee of the product that a run checks.
type Promise string

// The promises.
const (
	// CompleteResponse: a successful answer is complete and belongs to the caller's own
	// request.
	CompleteResponse Promise = "wholeAnswer"
	// RunOnce: a request that is not idempotent runs at most once per send.
	RunOnce Promise = "runOnce"
	// NotRunAccurate: a request that is reported as not run has not run and never runs.
	NotRunAccurate Promise = "notRunHolds"
	// OnlySent: upstreams run only requests that callers sent, and run them unchanged.
	OnlySent Promise = "onlyAsked"
	// RightService: a request runs at a service that some configuration routes it to.
	RightService Promise = "rightService"
	// ConfigInForce: after recovery, the newest configuration is followed.
	ConfigInForce Promise = "configInForce"
	// NoNewWork: a draining upstream gets no new work after a few seconds.
	NoNewWork Promise = "noNewWork"
	// ZoneEvacuated: no request reaches an upstream of an evacuated zone, after the bound
	// for that.
	ZoneEvacuated Promise = "zoneEvacuated"
	// NothingLost: without faults, the answer to a request that ran reaches the
	// caller, also during planned operations.
	NothingLost Promise = "nothingLost"
	// StaysOff: with all automatic actions off, no request is sent to a second
	// upstream.
	StaysOff Promise = "staysOff"
	// CrashesEnd: a request that crashes upstreams soon stops reaching them.
	CrashesEnd Promise = "crashesEnd"
	// ColdSpared: a cold upstream is not sent more requests and probes in a second than
	// the bound.
	ColdSpared Promise = "coldSpared"
	// MemoryBounded: the resident memory of a daemon stays within that of its machine.
	MemoryBounded Promise = "memoryBounded"
	// Recovers: requests are served again after the faults have ended.
	Recovers Promise = "recovers"
	// StaysUp: no process ends unexpectedly. StopsInTime: a daemon stops in time on
	// SIGTERM and need not be killed.
	StaysUp     Promise = "staysUp"
	StopsInTime Promise = "stopsInTime"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Token   string
	Detail  string
}

// String formats the violation on one line.
func (v Violation) String() string {
	if v.Token == "" {
		return fmt.Sprintf("%s: %s", v.Promise, v.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Token, v.Detail)
}
