package retry

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// MaxAttempts is the most attempts that a call gets, here and above.
const MaxAttempts = 3

// maxRefused is the number of daemons that may turn a call away before it is
// given up: more would say the same.
const maxRefused = 3

// Try describes a call of which at least one attempt was made.
type Try struct {
	// Idempotent is true when running the call twice is the same as once.
	Idempotent bool
	// Replayable is true when the whole body is held and can be sent again.
	Replayable bool
	// BodyTaken is true when a byte of the body has left towards an upstream.
	BodyTaken bool
	// Above is the attempt number that came with the call.
	Above int
	// Made counts the attempts made here; Refused those among the others that a
	// daemon turned away before an upstream saw them, where they are told apart.
	Made    int
	Refused int
	// Most bounds the attempts; 0 means MaxAttempts.
	Most int
	// Last is what became of the last attempt.
	Last call.Outcome
	// Failed is true when Last is Run and the answer shows a fault of that
	// upstream, as 503 does.
	Failed bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Need is the least time in which an answer can come.
	Need time.Duration
}

// Attempt returns the number to send with the next attempt.
func (t Try) Attempt() int { return t.Above + t.Made }

// Rule names the rule that settled a decision.
type Rule string

// The rules, in the order in which they are asked.
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

// Verdict is a decision and the rule that settled it.
type Verdict struct {
	Allowed bool
	Rule    Rule
}

func refuse(rule Rule) Verdict { return Verdict{Rule: rule} }

var allowed = Verdict{Allowed: true, Rule: RuleAllowed}

// Decide says whether another attempt may be made after the last one has
// ended, but for the budget.
func Decide(t Try, now time.Time) Verdict {
	proved := t.Last == call.NotRun
	switch {
	case t.Last == call.Run && !t.Failed:
		return refuse(RuleAnswered)
	case !proved && !t.Idempotent:
		return refuse(RuleNotIdempotent)
	case t.BodyTaken && !t.Replayable:
		return refuse(RuleBody)
	case t.Attempt() >= t.most():
		return refuse(RuleAttempts)
	case !proved && t.Above > 0:
		return refuse(RuleDepth)
	}
	return t.inTime(now)
}

func (t Try) most() int {
	if t.Most == 0 {
		return MaxAttempts
	}
	return t.Most
}

// decideElsewhere says whether a request that a daemon turned away may be tried
// at another.
func decideElsewhere(t Try, now time.Time) Verdict {
	switch {
	case t.BodyTaken && !t.Replayable:
		return refuse(RuleBody)
	case t.Refused > maxRefused:
		return refuse(RuleAttempts)
	}
	return t.inTime(now)
}

// decideHedge says whether a second attempt may be made beside the first,
// which has not ended.
func decideHedge(t Try, now time.Time) Verdict {
	switch {
	case !t.Idempotent:
		return refuse(RuleNotIdempotent)
	case !t.Replayable:
		return refuse(RuleBody)
	case t.Made != 1:
		return refuse(RuleAttempts)
	case t.Above > 0:
		return refuse(RuleDepth)
	}
	return t.inTime(now)
}

// inTime refuses when no answer can come before the deadline.
func (t Try) inTime(now time.Time) Verdict {
	if !t.Deadline.IsZero() && !now.Add(t.Need).Before(t.Deadline) {
		return refuse(RuleDeadline)
	}
	return allowed
}
