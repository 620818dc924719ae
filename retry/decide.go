package retry

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// MaxAttempts is the default maximum number of attempts for a call, including
// those counted in the attempt number received with it.
const MaxAttempts = 3

// maxRefusals is the maximum number of refusals by daemons after which a call is
// still sent to another one. Further daemons would most probably refuse it too.
const maxRefusals = 3

// CallState describes a call for which at least one attempt was made.
type CallState struct {
	// Idempotent is true if running the call twice has the effect of one run.
	Idempotent bool
	// Replayable is true if the whole body is buffered and can be sent again.
	Replayable bool
	// BodyConsumed is true if a byte of the body has been sent.
	BodyConsumed bool
	// PriorAttempts is the attempt number received with the call.
	PriorAttempts int
	// AttemptsMade is the number of attempts made here. Refusals is the number of
	// attempts that a daemon refused before an upstream saw them; if it is set,
	// AttemptsMade does not include them.
	AttemptsMade int
	Refusals     int
	// MaxAttempts is the maximum number of attempts; 0 means the constant MaxAttempts.
	MaxAttempts int
	// LastOutcome is the outcome of the last attempt.
	LastOutcome call.Outcome
	// FailedResponse is true if LastOutcome is Run and the answer shows a fault of
	// the upstream, such as status 503.
	FailedResponse bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// MinResponseTime is the minimum time until an answer can arrive.
	MinResponseTime time.Duration
}

// Attempt returns the attempt number to send with the next attempt.
func (s CallState) Attempt() int { return s.PriorAttempts + s.AttemptsMade }

// Rule is the rule that determined a decision.
type Rule string

// The rules, in the order in which they are applied.
const (
	RuleOff           Rule = "off"
	RuleAnswered      Rule = "answered"
	RuleNotIdempotent Rule = "notIdempotent"
	RuleBody          Rule = "body"
	RuleAttempts      Rule = "attempts"
	RuleDepth         Rule = "depth"
	RuleDeadline      Rule = "deadline"
	RuleBudget        Rule = "budget"
	RuleAllowed       Rule = "allowed"
)

// Verdict is a decision and the rule that determined it.
type Verdict struct {
	Allowed bool
	Rule    Rule
}

func refuse(rule Rule) Verdict { return Verdict{Rule: rule} }

var allowed = Verdict{Allowed: true, Rule: RuleAllowed}

// Decide decides whether another attempt may be made after the last one has
// ended, without regard to the budget and to Config.
func Decide(s CallState, now time.Time) Verdict {
	notRun := s.LastOutcome == call.NotRun
	switch {
	case s.LastOutcome == call.Run && !s.FailedResponse:
		return refuse(RuleAnswered)
	case !notRun && !s.Idempotent:
		return refuse(RuleNotIdempotent)
	case s.BodyConsumed && !s.Replayable:
		return refuse(RuleBody)
	case s.Attempt() >= s.maxAttempts():
		return refuse(RuleAttempts)
	case !notRun && s.PriorAttempts > 0:
		return refuse(RuleDepth)
	}
	return s.checkDeadline(now)
}

func (s CallState) maxAttempts() int {
	if s.MaxAttempts == 0 {
		return MaxAttempts
	}
	return s.MaxAttempts
}

// decideRedispatch decides whether a call that a daemon refused may be sent to
// another daemon.
func decideRedispatch(s CallState, now time.Time) Verdict {
	switch {
	case s.BodyConsumed && !s.Replayable:
		return refuse(RuleBody)
	case s.Refusals > maxRefusals:
		return refuse(RuleAttempts)
	}
	return s.checkDeadline(now)
}

// decideHedge decides whether a second attempt may be made while the first is in
// progress.
func decideHedge(s CallState, now time.Time) Verdict {
	switch {
	case !s.Idempotent:
		return refuse(RuleNotIdempotent)
	case !s.Replayable:
		return refuse(RuleBody)
	case s.AttemptsMade != 1:
		return refuse(RuleAttempts)
	case s.PriorAttempts > 0:
		return refuse(RuleDepth)
	}
	return s.checkDeadline(now)
}

// checkDeadline refuses an attempt that cannot be answered before the deadline.
func (s CallState) checkDeadline(now time.Time) Verdict {
	if !s.Deadline.IsZero() && !now.Add(s.MinResponseTime).Before(s.Deadline) {
		return refuse(RuleDeadline)
	}
	return allowed
}
