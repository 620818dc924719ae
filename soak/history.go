package soak

import (
	"fmt"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

// The paths that callers ask for. What moves goes to one service or the other as
// the configuration says.
const (
	lookPath   = "/look/"
	orderPath  = "/order/"
	movingPath = "/moving/"
)

// exchange is one send and what came of it.
type exchange struct {
	ask  platformtest.Ask
	told platformtest.Told
	// origin is the service of the machine that was asked.
	origin     string
	sent, done time.Time
}

// configuration is where the moving route leads from one moment on.
type configuration struct {
	service string
	at      time.Time
}

// history is what callers and upstreams saw, and what operators did.
type history struct {
	mu        sync.Mutex
	exchanges []exchange
	configs   []configuration
	// leaving holds when upstreams said that they leave.
	leaving map[string]time.Time
	off     time.Time
	// spells are the events, as they came about.
	spells []spell
	// calmFrom is when all was mended.
	calmFrom time.Time
	runs     []platformtest.Run
}

func newHistory() *history { return &history{leaving: map[string]time.Time{}} }

func (h *history) add(e exchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchanges = append(h.exchanges, e)
}

func (h *history) configured(service string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, configuration{service, now})
}

func (h *history) left(upstream string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[upstream] = now
}

func (h *history) switchedOff(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.off = now
}

// Promise names what is checked.
type Promise string

// The promises.
const (
	// WholeAnswer: a success is the whole answer to the caller's own request.
	WholeAnswer Promise = "wholeAnswer"
	// RunOnce: a send that is not idempotent runs at most once.
	RunOnce Promise = "runOnce"
	// NotRunHolds: what was told not to have run never runs.
	NotRunHolds Promise = "notRunHolds"
	// OnlyAsked: upstreams run what callers sent, as they sent it.
	OnlyAsked Promise = "onlyAsked"
	// RightService: a request runs at a service that some configuration names.
	RightService Promise = "rightService"
	// ConfigInForce: once all is calm the newest configuration is followed.
	ConfigInForce Promise = "configInForce"
	// NoNewWork: an upstream that leaves gets no new work after a few seconds.
	NoNewWork Promise = "noNewWork"
	// NothingLost: what an upstream has run is answered while nothing is done but
	// planned work.
	NothingLost Promise = "nothingLost"
	// StaysOff: with all actions off no request is sent to a second upstream.
	StaysOff Promise = "staysOff"
	// CrashesEnd: a request that crashes upstreams soon reaches no more of them.
	CrashesEnd Promise = "crashesEnd"
	// Recovers: once all is calm requests are served.
	Recovers Promise = "recovers"
	// StaysUp: no process ends by itself, and StopsInTime: none must be killed.
	StaysUp     Promise = "staysUp"
	StopsInTime Promise = "stopsInTime"
)

// Violation is one promise broken.
type Violation struct {
	Promise Promise
	Token   string
	Detail  string
}

// String returns the violation as one line.
func (v Violation) String() string {
	if v.Token == "" {
		return fmt.Sprintf("%s: %s", v.Promise, v.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Token, v.Detail)
}
