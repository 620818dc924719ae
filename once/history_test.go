package once

import (
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// event is one execution at the upstream, or one answer to a call.
type event struct {
	callID  string
	key     string
	at      time.Time
	outcome call.Outcome
	reason  call.Reason
	status  int
}

// history records what a schedule did, and checks it.
type history struct {
	sent       map[string]string
	executions map[string][]event
	answers    []event
	executed   map[string]bool
}

func (h *history) begin(callID, key string) {
	if h.sent == nil {
		h.sent, h.executions, h.executed = map[string]string{}, map[string][]event{}, map[string]bool{}
	}
	h.sent[callID] = key
}

// execute records a run and returns the status that marks it.
func (h *history) execute(callID, key string, at time.Time) int {
	status := 1000 + len(h.executed)
	h.executed[callID] = true
	h.executions[key] = append(h.executions[key], event{callID: callID, key: key, at: at, status: status})
	return status
}

func (h *history) answer(callID, key string, outcome call.Outcome, reason call.Reason, status int, at time.Time) {
	h.answers = append(h.answers, event{callID, key, at, outcome, reason, status})
}

// check returns the first broken promise, or nil: no key runs twice within the
// window (a timed or issued one never), no call told notRun belongs to a key
// that has run, and a replayed answer is that of the key's one run.
func (h *history) check(window time.Duration) error {
	for key, runs := range h.executions {
		parsed, _ := ParseKey(key)
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].at.Sub(runs[i-1].at); parsed.Kind != Opaque || gap <= window {
				return fmt.Errorf("%s key %s ran by %s at %v and by %s at %v", parsed.Kind, key,
					runs[i-1].callID, runs[i-1].at.Sub(epoch), runs[i].callID, runs[i].at.Sub(epoch))
			}
		}
	}
	for _, answer := range h.answers {
		if err := h.checkAnswer(answer, window); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) checkAnswer(answer event, window time.Duration) error {
	runs := h.executions[answer.key]
	switch {
	case answer.outcome == call.NotRun && h.executed[answer.callID]:
		return fmt.Errorf("%s told notRun/%s and ran", answer.callID, answer.reason)
	case answer.outcome == call.NotRun:
		for _, run := range runs {
			if !run.at.After(answer.at) && answer.at.Sub(run.at) <= window {
				return fmt.Errorf("%s told notRun/%s at %v, key %s ran by %s at %v", answer.callID,
					answer.reason, answer.at.Sub(epoch), answer.key, run.callID, run.at.Sub(epoch))
			}
		}
	case answer.status != 0:
		for _, run := range runs {
			if run.status == answer.status {
				return nil
			}
		}
		return fmt.Errorf("%s was replayed an answer of another run", answer.callID)
	}
	return nil
}
