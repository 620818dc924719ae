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
	// drainNoticeTime is the time in which daemons must stop sending new work to an
	// upstream that the store lists as draining.
	drainNoticeTime = 2 * time.Second
	// evacuationNoticeTime is the time in which requests must stop reaching an evacuated
	// zone.
	evacuationNoticeTime = 5 * time.Second
	// recoveryTime is the time allowed after a fault before its effects count as
	// violations.
	recoveryTime = 3 * time.Second
	// crashThreshold is the number of crashes after which the daemons must recognise
	// a crashing request. maxLateCrashes is how many more it may cause once they have
	// had recoveryTime to do so.
	crashThreshold = 3
	maxLateCrashes = 3
	// minServedShare is the minimum share of requests served after recovery.
	minServedShare = 0.98
)

// check returns the violations in a history.
func (h *history) check() []Violation {
	sent, runs := map[string]exchange{}, map[string][]platformtest.Run{}
	for _, e := range h.exchanges {
		sent[e.request.Token] = e
	}
	for _, r := range h.runs {
		runs[r.Token] = append(runs[r.Token], r)
	}
	out := h.checkRuns(sent)
	for _, e := range h.exchanges {
		out = append(out, h.checkExchange(e, runs[e.request.Token])...)
	}
	out = append(out, h.checkCrashes()...)
	out = append(out, h.checkCold()...)
	out = append(out, h.checkMemory()...)
	return append(out, h.checkRecovery()...)
}

// checkCrashes checks each request that crashes upstreams. Once recoveryTime has
// passed after crash number crashThreshold, at most maxLateCrashes further sends of
// it may reach an upstream.
func (h *history) checkCrashes() []Violation {
	byPath := map[string][]platformtest.Run{}
	for _, r := range h.runs {
		if strings.Contains(r.Path, platformtest.CrashPath) {
			byPath[r.Path] = append(byPath[r.Path], r)
		}
	}
	var out []Violation
	for path, runs := range byPath {
		slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		late := 0
		for i, r := range runs {
			if i >= crashThreshold && r.StartedAt.Sub(runs[crashThreshold-1].StartedAt) > recoveryTime && h.noFaultExcept(CrashingRequest, r.StartedAt.Add(-recoveryTime), r.StartedAt) {
				late++
			}
		}
		if late > maxLateCrashes {
			out = append(out, Violation{Promise: CrashesEnd, Detail: fmt.Sprintf("%s crashed %d upstreams, %d of them late", path, len(runs), late)})
		}
	}
	return out
}

func (h *history) checkRuns(sent map[string]exchange) []Violation {
	var out []Violation
	for _, r := range h.runs {
		violated := func(p Promise, text string, args ...any) {
			out = append(out, Violation{Promise: p, Token: r.Token, Detail: fmt.Sprintf(text, args...)})
		}
		e, known := sent[r.Token]
		switch {
		case !known:
			violated(OnlySent, "%s ran %s, which no caller sent", r.Worker, r.Path)
			continue
		case r.Method != e.request.Method, r.Path != e.request.Path, r.Body != e.request.Body, r.Origin != e.origin:
			violated(OnlySent, "%s ran %s %s (%d bytes) from %s, but the caller sent %s %s (%d bytes) from %s", r.Worker,
				r.Method, r.Path, len(r.Body), r.Origin, e.request.Method, e.request.Path, len(e.request.Body), e.origin)
		}
		if !h.isRouted(r) {
			violated(RightService, "service %s ran %s, which no configuration routes to it", r.Service, r.Path)
		}
		if newest := h.configs[len(h.configs)-1]; isMovingPath(r.Path) && r.Service != newest.service && h.isRecovered(e.sent) {
			violated(ConfigInForce, "service %s ran a request that has been routed to %s for %s", r.Service, newest.service, e.sent.Sub(newest.at))
		}
		if drainStart, ok := h.drainStarts[r.Worker]; ok && r.StartedAt.Sub(drainStart) > drainNoticeTime && h.drainHolds(drainStart, r.StartedAt) {
			violated(NoNewWork, "%s received the request %s after it started draining", r.Worker, r.StartedAt.Sub(drainStart))
		}
		if p, ok := h.evacuationDuring(r); ok && h.couldLearn(p.from, r.StartedAt) {
			violated(ZoneEvacuated, "%s received the request %s after its zone was evacuated", r.Worker, r.StartedAt.Sub(p.from))
		}
	}
	return out
}

// drainHolds reports whether all daemons must know at a time that an upstream is draining. A
// return of the store does not make them forget what they knew before, but a daemon that is
// restarted then does not know it.
func (h *history) drainHolds(drainStart, at time.Time) bool {
	if h.noFault(drainStart.Add(-recoveryTime), at) {
		return true
	}
	return h.noFault(drainStart.Add(-recoveryTime), drainStart.Add(drainNoticeTime)) &&
		h.noFaultExcept(StoreReturn, drainStart, at) && !h.overlaps(DaemonStop, drainStart, at)
}

// overlaps reports whether an event of a kind was in progress between two times.
func (h *history) overlaps(kind Kind, from, to time.Time) bool {
	return slices.ContainsFunc(h.periods, func(p period) bool {
		return p.event.Kind == kind && p.from.Before(to) && p.to.After(from)
	})
}

// evacuationDuring returns the evacuation of the upstream's zone that should have kept a
// request from it.
func (h *history) evacuationDuring(r platformtest.Run) (period, bool) {
	i := slices.IndexFunc(h.periods, func(p period) bool {
		return p.event.Kind == Evacuation && p.event.Zone == h.zones[r.Worker] &&
			r.StartedAt.Sub(p.from) > evacuationNoticeTime && r.StartedAt.Before(p.to)
	})
	if i < 0 {
		return period{}, false
	}
	return h.periods[i], true
}

// couldLearn reports whether no fault between from and to may have kept a daemon from learning
// what the store holds. Restarts of daemons do not.
func (h *history) couldLearn(from, to time.Time) bool {
	return !slices.ContainsFunc(h.periods, func(p period) bool {
		return slices.Contains(isolatingKinds, p.event.Kind) && p.from.Before(to) && p.to.Add(recoveryTime).After(from)
	})
}

// isolatingKinds lists the kinds of faults that may keep a daemon from learning of changes.
var isolatingKinds = []Kind{StoreFault, StoreReturn, DaemonPartition, DaemonPause, LinkFault}

func isMovingPath(path string) bool { return strings.HasPrefix(path, movingPath) }

// isRouted reports whether some configuration routes the path of a run to its
// service.
func (h *history) isRouted(r platformtest.Run) bool {
	switch {
	case strings.HasPrefix(r.Path, lookupPath):
		return r.Service == services[0]
	case strings.HasPrefix(r.Path, orderPath):
		return r.Service == services[1]
	}
	for _, c := range h.configs {
		if isMovingPath(r.Path) && c.service == r.Service {
			return true
		}
	}
	return false
}

func (h *history) checkExchange(e exchange, runs []platformtest.Run) []Violation {
	var out []Violation
	violated := func(p Promise, detail string) {
		out = append(out, Violation{Promise: p, Token: e.request.Token, Detail: detail})
	}
	if e.result.Mismatch != "" {
		violated(CompleteResponse, e.result.Mismatch)
	}
	switch atMostOnce := e.request.Method != http.MethodGet; {
	case isConsistent(e, runs, atMostOnce):
	case atMostOnce && len(runs) > 1:
		violated(RunOnce, fmt.Sprintf("ran %d times, on %s and %s", len(runs), runs[0].Worker, runs[1].Worker))
	default:
		violated(NotRunAccurate, fmt.Sprintf("status %d reports the request as not run, but it ran on %s", e.result.Status, runs[0].Worker))
	}
	if !h.switchedOffAt.IsZero() && e.sent.After(h.switchedOffAt.Add(recoveryTime)) && h.noFault(h.switchedOffAt, h.switchedOffAt.Add(recoveryTime)) && len(runs) > 1 {
		violated(StaysOff, fmt.Sprintf("the request was sent to %d upstreams", len(runs)))
	}
	if e.result.Err != nil && e.done.Sub(e.sent) < e.request.Timeout && len(runs) > 0 && h.noFault(e.sent.Add(-recoveryTime), e.done) {
		violated(NothingLost, fmt.Sprintf("%s ran the request, but the caller got: %v", runs[0].Worker, e.result.Err))
	}
	return out
}

// step is one operation on a request: a run, or the promise that it has not run and
// never will.
type step string

const (
	ran            step = "ran"
	promisedNotRun step = "promised"
)

// requestModel returns the model of a request. It may run, at most once or any number
// of times, but neither before nor after the promise that it has not run.
func requestModel(atMostOnce bool) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return step("") },
		Step: func(state, input, _ any) (bool, any) {
			before, next := state.(step), input.(step)
			if next == promisedNotRun {
				return before != ran, promisedNotRun
			}
			return before == "" || before == ran && !atMostOnce, ran
		},
	}
}

// isConsistent reports whether the runs of a request agree with the result that its
// caller got. Runs are points in time; a promise that the request has not run holds
// from the send on without end.
func isConsistent(e exchange, runs []platformtest.Run, atMostOnce bool) bool {
	if !e.result.NotRun && len(runs) <= 1 {
		return true
	}
	const endOfTime = int64(1) << 62
	var ops []porcupine.Operation
	for i, r := range runs {
		at := r.StartedAt.UnixNano()
		ops = append(ops, porcupine.Operation{ClientId: i, Input: ran, Call: at, Return: at + 1})
	}
	if e.result.NotRun {
		ops = append(ops, porcupine.Operation{ClientId: len(runs), Input: promisedNotRun, Call: e.sent.UnixNano(), Return: endOfTime})
	}
	return porcupine.CheckOperations(requestModel(atMostOnce), ops)
}

// checkRecovery checks the share of requests served among those sent after recovery.
func (h *history) checkRecovery() []Violation {
	total, served := 0, 0
	for _, e := range h.exchanges {
		if h.isRecovered(e.sent) {
			total++
			if e.result.Served() {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		return []Violation{{Promise: Recovers, Detail: fmt.Sprintf("%d of %d requests served after recovery", served, total)}}
	}
	return nil
}

// isRecovered reports whether now is more than recoveryTime after the last fault
// ended.
func (h *history) isRecovered(now time.Time) bool {
	return !h.faultsEnded.IsZero() && now.After(h.faultsEnded.Add(recoveryTime))
}

// noFault reports whether no fault was active between from and to or in the
// recoveryTime before.
func (h *history) noFault(from, to time.Time) bool { return h.noFaultExcept("", from, to) }

// noFaultExcept is noFault without regard to faults of one kind.
func (h *history) noFaultExcept(kind Kind, from, to time.Time) bool {
	for _, p := range h.periods {
		if p.event.Kind != kind && p.event.isFault() && p.from.Before(to) && p.to.Add(recoveryTime).After(from) {
			return false
		}
	}
	return true
}
