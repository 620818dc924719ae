package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

const (
	// followWithin is the time in which what the store says must be followed.
	followWithin = 2 * time.Second
	// settleTime is left after the last trouble before its effects count.
	settleTime = 3 * time.Second
	// crashesToTell is after how many crashes a request is known for them, and
	// lateCrashes how many more it may cause later.
	crashesToTell = 3
	lateCrashes   = 3
	// servedShare is the least share of requests that are served once all is calm.
	servedShare = 0.98
)

// check returns the promises that a history breaks.
func (h *history) check() []Violation {
	sent, runs := map[string]exchange{}, map[string][]platformtest.Run{}
	for _, e := range h.exchanges {
		sent[e.ask.Token] = e
	}
	for _, r := range h.runs {
		runs[r.Token] = append(runs[r.Token], r)
	}
	out := h.checkRuns(sent)
	for _, e := range h.exchanges {
		out = append(out, h.checkExchange(e, runs[e.ask.Token])...)
	}
	out = append(out, h.checkCrashes()...)
	return append(out, h.checkServed()...)
}

// checkCrashes follows each request that crashes upstreams. After the third crash
// and the time to tell of it, few of those that come again may reach an upstream.
func (h *history) checkCrashes() []Violation {
	byPath := map[string][]platformtest.Run{}
	for _, r := range h.runs {
		if strings.Contains(r.Path, platformtest.CrashPath) {
			byPath[r.Path] = append(byPath[r.Path], r)
		}
	}
	var out []Violation
	for path, runs := range byPath {
		slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.Began.Compare(b.Began) })
		late := 0
		for i, r := range runs {
			if i >= crashesToTell && r.Began.Sub(runs[crashesToTell-1].Began) > settleTime && h.untroubledBut(CrashingRequest, r.Began.Add(-settleTime), r.Began) {
				late++
			}
		}
		if late > lateCrashes {
			out = append(out, Violation{Promise: CrashesEnd, Detail: fmt.Sprintf("%s crashed %d upstreams, %d of them late", path, len(runs), late)})
		}
	}
	return out
}

func (h *history) checkRuns(sent map[string]exchange) []Violation {
	var out []Violation
	for _, r := range h.runs {
		found := func(p Promise, text string, args ...any) {
			out = append(out, Violation{Promise: p, Token: r.Token, Detail: fmt.Sprintf(text, args...)})
		}
		e, known := sent[r.Token]
		switch {
		case !known:
			found(OnlyAsked, "%s ran %s, which nobody sent", r.Worker, r.Path)
			continue
		case r.Method != e.ask.Method, r.Path != e.ask.Path, r.Body != e.ask.Body, r.Origin != e.origin:
			found(OnlyAsked, "%s ran %s %s (%d bytes) from %s, sent was %s %s (%d bytes) from %s", r.Worker,
				r.Method, r.Path, len(r.Body), r.Origin, e.ask.Method, e.ask.Path, len(e.ask.Body), e.origin)
		}
		if !h.allowed(r) {
			found(RightService, "%s ran %s", r.Service, r.Path)
		}
		if newest := h.configs[len(h.configs)-1]; isMoving(r.Path) && r.Service != newest.service && h.isCalm(e.sent) {
			found(ConfigInForce, "%s ran what goes to %s since %s", r.Service, newest.service, e.sent.Sub(newest.at))
		}
		if left, ok := h.leaving[r.Worker]; ok && r.Began.Sub(left) > followWithin && h.untroubled(left.Add(-settleTime), r.Began) {
			found(NoNewWork, "%s got it %s after it said that it leaves", r.Worker, r.Began.Sub(left))
		}
	}
	return out
}

func isMoving(path string) bool { return strings.HasPrefix(path, movingPath) }

// allowed reports whether some configuration lets a service run a path.
func (h *history) allowed(r platformtest.Run) bool {
	switch {
	case strings.HasPrefix(r.Path, lookPath):
		return r.Service == services[0]
	case strings.HasPrefix(r.Path, orderPath):
		return r.Service == services[1]
	}
	for _, c := range h.configs {
		if isMoving(r.Path) && c.service == r.Service {
			return true
		}
	}
	return false
}

func (h *history) checkExchange(e exchange, runs []platformtest.Run) []Violation {
	var out []Violation
	found := func(p Promise, detail string) {
		out = append(out, Violation{Promise: p, Token: e.ask.Token, Detail: detail})
	}
	if e.told.Fault != "" {
		found(WholeAnswer, e.told.Fault)
	}
	switch once := e.ask.Method != http.MethodGet; {
	case ranAsTold(e, runs, once):
	case once && len(runs) > 1:
		found(RunOnce, fmt.Sprintf("ran %d times, at %s and %s", len(runs), runs[0].Worker, runs[1].Worker))
	default:
		found(NotRunHolds, fmt.Sprintf("status %d, but ran at %s", e.told.Status, runs[0].Worker))
	}
	if !h.off.IsZero() && e.sent.After(h.off.Add(settleTime)) && h.untroubled(h.off, h.off.Add(settleTime)) && len(runs) > 1 {
		found(StaysOff, fmt.Sprintf("sent to %d upstreams", len(runs)))
	}
	if e.told.Err != nil && e.done.Sub(e.sent) < e.ask.Wait && len(runs) > 0 && h.untroubled(e.sent.Add(-settleTime), e.done) {
		found(NothingLost, fmt.Sprintf("%s ran it, and the caller got: %v", runs[0].Worker, e.told.Err))
	}
	return out
}

// step is one thing that happened to a request: a run, or the promise that there
// is none.
type step string

const (
	ran      step = "ran"
	promised step = "promised"
)

// model is a request: it may run, once or more often, until it is promised that it
// has not.
func model(once bool) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return step("") },
		Step: func(state, input, _ any) (bool, any) {
			before, next := state.(step), input.(step)
			if next == promised {
				return before != ran, promised
			}
			return before == "" || before == ran && !once, ran
		},
	}
}

// ranAsTold checks one request by its history: runs are moments, and the promise
// holds from the sending on for ever.
func ranAsTold(e exchange, runs []platformtest.Run, once bool) bool {
	if !e.told.NotRun && len(runs) <= 1 {
		return true
	}
	const ever = int64(1) << 62
	var ops []porcupine.Operation
	for i, r := range runs {
		at := r.Began.UnixNano()
		ops = append(ops, porcupine.Operation{ClientId: i, Input: ran, Call: at, Return: at + 1})
	}
	if e.told.NotRun {
		ops = append(ops, porcupine.Operation{ClientId: len(runs), Input: promised, Call: e.sent.UnixNano(), Return: ever})
	}
	return porcupine.CheckOperations(model(once), ops)
}

// checkServed looks at the requests that were sent when all was calm.
func (h *history) checkServed() []Violation {
	asked, served := 0, 0
	for _, e := range h.exchanges {
		if h.isCalm(e.sent) {
			asked++
			if e.told.Served() {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < servedShare*float64(asked) {
		return []Violation{{Promise: Recovers, Detail: fmt.Sprintf("%d of %d requests served once all was calm", served, asked)}}
	}
	return nil
}

// isCalm reports whether a moment is well after all was mended.
func (h *history) isCalm(now time.Time) bool {
	return !h.calmFrom.IsZero() && now.After(h.calmFrom.Add(settleTime))
}

// untroubled reports whether no fault touched a time, nor the settling before it.
func (h *history) untroubled(from, to time.Time) bool { return h.untroubledBut("", from, to) }

// untroubledBut does not count faults of one kind.
func (h *history) untroubledBut(kind Kind, from, to time.Time) bool {
	for _, s := range h.spells {
		if s.event.Kind != kind && !s.event.isPlanned() && s.from.Before(to) && s.to.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}
