package retry_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/retry"
)

func TestAllowRedispatch(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	later := now.Add(time.Second)
	tests := map[string]struct {
		off   bool
		state retry.CallState
		want  retry.Rule
	}{
		"first refusal":        {state: retry.CallState{Refusals: 1, Replayable: true, Deadline: later}, want: retry.RuleAllowed},
		"not idempotent":       {state: retry.CallState{Refusals: 1, Deadline: later}, want: retry.RuleAllowed},
		"too many refusals":    {state: retry.CallState{Refusals: 4, Deadline: later}, want: retry.RuleAttempts},
		"body partly sent":     {state: retry.CallState{Refusals: 1, BodyConsumed: true, Deadline: later}, want: retry.RuleBody},
		"past the deadline":    {state: retry.CallState{Refusals: 1, Deadline: now}, want: retry.RuleDeadline},
		"retries switched off": {off: true, state: retry.CallState{Refusals: 1, Deadline: later}, want: retry.RuleOff},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := retry.New(retry.Config{Retry: !test.off})
			if got := p.AllowRedispatch(test.state, now); got.Rule != test.want {
				t.Fatalf("AllowRedispatch returned %+v", got)
			}
		})
	}
}

func TestMaxAttemptsOfRoute(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for made, want := range map[int]retry.Rule{1: retry.RuleAllowed, 2: retry.RuleAttempts} {
		state := retry.CallState{Idempotent: true, Replayable: true, AttemptsMade: made, MaxAttempts: 2, LastOutcome: call.Unknown, Deadline: now.Add(time.Second)}
		if got := retry.Decide(state, now); got.Rule != want {
			t.Errorf("after %d attempts Decide returned %+v", made, got)
		}
	}
}

// TestSharedBudget checks that the retries of twelve daemons together stay within
// the budget of a window.
func TestSharedBudget(t *testing.T) {
	const daemons, extra, window = 12, 60.0, 10
	total := 0
	for range daemons {
		now := time.Unix(1_800_000_000, 0)
		p := retry.New(retry.Config{Retry: true, RetryPercent: 10, MinRetriesPerSecond: extra / 2 / window / daemons, MaxSavedRetries: max(extra/4/daemons, 1)})
		state := retry.CallState{Idempotent: true, Replayable: true, AttemptsMade: 1, LastOutcome: call.Unknown, Deadline: now.Add(time.Hour)}
		for range window * 100 {
			now = now.Add(10 * time.Millisecond)
			if p.AllowRetry(state, now).Allowed {
				total++
			}
		}
	}
	if total == 0 || total > extra {
		t.Fatalf("got %d further attempts, want at least 1 and at most %g", total, extra)
	}
}
