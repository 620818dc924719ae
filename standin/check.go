package standin

import (
	"fmt"
	"strconv"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Promise is a guarantee that a history is checked against.
type Promise string

// The guarantees.
const (
	// CompleteResponse means that a caller gets the complete response to its own
	// request.
	CompleteResponse Promise = "wholeAnswer"
	// RunOnce means that a request that is not idempotent runs at most once.
	RunOnce Promise = "runOnce"
	// NotRunAccurate means that a request reported as notRun did not run.
	NotRunAccurate Promise = "notRunHolds"
	// RunAccurate means that a request reported as run did run.
	RunAccurate Promise = "runHolds"
	// OutcomeReported means that each response reports the outcome of the request.
	OutcomeReported Promise = "outcomeTold"
	// NoNewWork means that an upstream that is leaving gets no new work after a
	// few seconds.
	NoNewWork Promise = "noNewWork"
)

// Violation is one violated guarantee.
type Violation struct {
	Promise Promise `json:"promise"`
	Token   string  `json:"token"`
	Detail  string  `json:"detail"`
}

// Check compares the outcomes reported to callers with the requests that the
// workers ran. direct is true if the callers called workers, which report no
// outcome.
func Check(history []Exchange, executions []Execution, direct bool) []Violation {
	runs := map[string][]Execution{}
	for _, e := range executions {
		if e.Ran() {
			runs[e.Token] = append(runs[e.Token], e)
		}
	}
	var out []Violation
	for _, x := range history {
		out = append(out, checkExchange(x, runs[x.Token], direct)...)
	}
	return append(out, checkRunOnce(executions)...)
}

// checkExchange checks the outcome reported for one exchange.
func checkExchange(x Exchange, runs []Execution, direct bool) []Violation {
	var out []Violation
	addViolation := func(p Promise, detail string) {
		out = append(out, Violation{Promise: p, Token: x.Token, Detail: fmt.Sprintf("send %d to %s: %s", x.Send, x.Target, detail)})
	}
	if x.Verdict == VerdictInvalid {
		addViolation(CompleteResponse, x.Fault)
	}
	if direct || x.Verdict == VerdictNoResponse {
		return out
	}
	switch x.Outcome {
	case call.Run:
		if len(runs) == 0 {
			addViolation(RunAccurate, "reported run, but no worker ran it")
		}
	case call.NotRun:
		for _, e := range runs {
			if notRunCovers(x, e) {
				addViolation(NotRunAccurate, "reported notRun ("+string(x.Reason)+"), but "+e.Worker+" ran send "+e.Send)
			}
		}
	case call.Unknown:
	default:
		addViolation(OutcomeReported, fmt.Sprintf("status %d with outcome %q", x.Status, x.Outcome))
	}
	return out
}

// notRunCovers reports whether the outcome notRun of x also covers execution e:
// that is the case for the same send and, if x has a key, for every earlier
// one.
func notRunCovers(x Exchange, e Execution) bool {
	send, err := strconv.Atoi(e.Send)
	if err != nil {
		return true
	}
	return send == x.Send || x.Key != "" && send < x.Send
}

// checkRunOnce finds requests that are not idempotent and ran more than once.
// Executions of one request share a key or, without a key, the token and send
// or the call: a caller that resends an order without a key requests another
// run.
func checkRunOnce(executions []Execution) []Violation {
	first := map[string]Execution{}
	var out []Violation
	for _, e := range executions {
		if !e.Ran() || (Request{Method: e.Method}).Idempotent() {
			continue
		}
		id := runOnceID(e)
		earlier, seen := first[id]
		if !seen {
			first[id] = e
			continue
		}
		out = append(out, Violation{Promise: RunOnce, Token: e.Token, Detail: fmt.Sprintf(
			"%s: ran on %s as send %s (call %s) and on %s as send %s (call %s)",
			id, earlier.Worker, earlier.Send, earlier.Call, e.Worker, e.Send, e.Call)})
	}
	return out
}

// runOnceID returns the identity under which an execution may run only once.
func runOnceID(e Execution) string {
	switch {
	case e.Key != "":
		return "key " + e.Key
	case e.Token != "":
		return "token " + e.Token + " send " + e.Send
	}
	return "call " + e.Call
}

// CheckNoNewWork finds requests whose headers reached a worker more than grace
// after it began to leave. A request that arrived earlier and whose body is
// still being received is not new work.
func CheckNoNewWork(executions []Execution, worker string, leavingSince time.Time, grace time.Duration) []Violation {
	end := leavingSince.Add(grace).UnixMicro()
	var out []Violation
	for _, e := range executions {
		if e.Worker == worker && e.ArrivedUs > end {
			late := time.Duration(e.ArrivedUs-leavingSince.UnixMicro()) * time.Microsecond
			out = append(out, Violation{Promise: NoNewWork, Token: e.Token, Detail: fmt.Sprintf("%s received the request %v after it began to leave", worker, late)})
		}
	}
	return out
}
