package once

import (
	"fmt"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// event is one run at the upstream or one answer to a call.
type event struct {
	callID  string
	key     string
	at      time.Time
	outcome call.Outcome
	reason  call.Reason
	status  int
}

// history records the sends, runs and answers of a schedule, and checks them.
type history struct {
	keyByCall map[string]string
	runsByKey map[string][]event
	answers   []event
	ranCalls  map[string]bool
}

func (h *history) recordSend(callID, key string) {
	if h.keyByCall == nil {
		h.keyByCall, h.runsByKey, h.ranCalls = map[string]string{}, map[string][]event{}, map[string]bool{}
	}
	h.keyByCall[callID] = key
}

// recordRun records a run and returns a status that identifies it.
func (h *history) recordRun(callID, key string, at time.Time) int {
	status := 1000 + len(h.ranCalls)
	h.ranCalls[callID] = true
	h.runsByKey[key] = append(h.runsByKey[key], event{callID: callID, key: key, at: at, status: status})
	return status
}

func (h *history) recordAnswer(callID, key string, outcome call.Outcome, reason call.Reason, status int, at time.Time) {
	h.answers = append(h.answers, event{callID, key, at, outcome, reason, status})
}

// check returns the first violated guarantee, or nil: no key runs twice within
// the window (timed and issued keys never do), no call is answered notRun after a
// run of its key, and a replayed answer is from a run of the key.
func (h *history) check(window time.Duration) error {
	for key, runs := range h.runsByKey {
		parsed, _ := ParseKey(key)
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].at.Sub(runs[i-1].at); parsed.Kind != Opaque || gap <= window {
				return fmt.Errorf("%s key %s ran for %s at %v and again for %s at %v", parsed.Kind, key,
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
	runs := h.runsByKey[answer.key]
	switch {
	case answer.outcome == call.NotRun && h.ranCalls[answer.callID]:
		return fmt.Errorf("%s was answered notRun/%s but ran", answer.callID, answer.reason)
	case answer.outcome == call.NotRun:
		for _, run := range runs {
			if !run.at.After(answer.at) && answer.at.Sub(run.at) <= window {
				return fmt.Errorf("%s was answered notRun/%s at %v, but key %s ran for %s at %v", answer.callID,
					answer.reason, answer.at.Sub(epoch), answer.key, run.callID, run.at.Sub(epoch))
			}
		}
	case answer.status != 0:
		for _, run := range runs {
			if run.status == answer.status {
				return nil
			}
		}
		return fmt.Errorf("%s got a replayed answer that is from no run of its key", answer.callID)
	}
	return nil
}
