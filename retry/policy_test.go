package retry

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/call"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	order := CallState{AttemptsMade: 1, LastOutcome: call.NotRun, Replayable: true, BodyConsumed: true, Deadline: epoch.Add(time.Second)}
	lookup := order
	lookup.Idempotent, lookup.LastOutcome = true, call.Unknown
	tests := map[string]struct {
		state  CallState
		change func(*CallState)
		want   Rule
	}{
		"order, proved not run":          {state: order, want: RuleAllowed},
		"order, unknown":                 {state: order, change: func(t *CallState) { t.LastOutcome = call.Unknown }, want: RuleNotIdempotent},
		"order, failed answer":           {state: order, change: func(t *CallState) { t.LastOutcome, t.FailedResponse = call.Run, true }, want: RuleNotIdempotent},
		"order, body not replayable":     {state: order, change: func(t *CallState) { t.Replayable = false }, want: RuleBody},
		"order, body not sent":           {state: order, change: func(t *CallState) { t.Replayable, t.BodyConsumed = false, false }, want: RuleAllowed},
		"order, received attempt 1":      {state: order, change: func(t *CallState) { t.PriorAttempts = 1 }, want: RuleAllowed},
		"order, received attempt 2":      {state: order, change: func(t *CallState) { t.PriorAttempts = 2 }, want: RuleAttempts},
		"lookup, unknown":                {state: lookup, want: RuleAllowed},
		"lookup, answered":               {state: lookup, change: func(t *CallState) { t.LastOutcome = call.Run }, want: RuleAnswered},
		"lookup, failed answer":          {state: lookup, change: func(t *CallState) { t.LastOutcome, t.FailedResponse = call.Run, true }, want: RuleAllowed},
		"lookup, third attempt":          {state: lookup, change: func(t *CallState) { t.AttemptsMade = 2 }, want: RuleAllowed},
		"lookup, fourth attempt":         {state: lookup, change: func(t *CallState) { t.AttemptsMade = 3 }, want: RuleAttempts},
		"lookup, received attempt 1":     {state: lookup, change: func(t *CallState) { t.PriorAttempts = 1 }, want: RuleDepth},
		"lookup, deadline passed":        {state: lookup, change: func(t *CallState) { t.Deadline = epoch }, want: RuleDeadline},
		"lookup, too late for an answer": {state: lookup, change: func(t *CallState) { t.MinResponseTime = time.Second }, want: RuleDeadline},
		"lookup, no deadline":            {state: lookup, change: func(t *CallState) { t.Deadline = time.Time{} }, want: RuleAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.change != nil {
				test.change(&test.state)
			}
			if got := Decide(test.state, epoch); got.Rule != test.want || got.Allowed != (test.want == RuleAllowed) {
				t.Fatalf("Decide returned %+v", got)
			}
		})
	}
}

func TestSwitches(t *testing.T) {
	state := CallState{Idempotent: true, Replayable: true, AttemptsMade: 1, LastOutcome: call.Unknown}
	tests := map[string]struct {
		config       Config
		retry, hedge Rule
	}{
		"all off":                 {retry: RuleOff, hedge: RuleOff},
		"retry":                   {config: Config{Retry: true, RetryPercent: 10}, retry: RuleAllowed, hedge: RuleOff},
		"hedge":                   {config: Config{Hedge: true, HedgePercent: 100}, retry: RuleOff, hedge: RuleAllowed},
		"hedge, 0 percent":        {config: Config{Hedge: true}, retry: RuleOff, hedge: RuleBudget},
		"retry, 0 percent":        {config: Config{Retry: true}, retry: RuleBudget, hedge: RuleOff},
		"percentages not numbers": {config: Config{Retry: true, RetryPercent: math.NaN(), Hedge: true, HedgePercent: math.NaN()}, retry: RuleBudget, hedge: RuleBudget},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(test.config)
			p.CountFirst(0)
			if retry, hedge := p.AllowRetry(state, epoch), p.AllowHedge(state, epoch); retry.Rule != test.retry || hedge.Rule != test.hedge {
				t.Fatalf("AllowRetry returned %+v, AllowHedge returned %+v", retry, hedge)
			}
		})
	}
}

// TestBudgetHolds checks that in every window the number of further attempts is
// at most the share of the first ones, the minimum rate, and one full bucket.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, latest := epoch, epoch
		config := Config{Retry: true, RetryPercent: 10, Hedge: true, HedgePercent: 5}
		p := New(config)
		p.Set(config, now)            // starts the clock of the budget
		var retries, hedges []float64 // tokens granted before each attempt
		var grantedRetries, grantedHedges float64
		state := CallState{Idempotent: true, Replayable: true, AttemptsMade: 1, LastOutcome: call.Unknown}
		advance := func() { // advances the window to the latest reading of the clock
			if now.After(latest) {
				grantedRetries += p.minRetryRate() * now.Sub(latest).Seconds()
				latest = now
			}
		}
		check := func(spent []float64, granted float64, t *rapid.T) {
			for i := range spent {
				if n := float64(len(spent) - i); n > bucketSize+granted-spent[i]+1e-6 {
					t.Fatalf("got %v attempts, but only %v tokens were granted besides the bucket", n, granted-spent[i])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-1e9, 10e9).Draw(t, "ns")))
			},
			"first": func(t *rapid.T) {
				received := rapid.IntRange(0, 1).Draw(t, "above")
				for range rapid.IntRange(1, 300).Draw(t, "n") {
					p.CountFirst(received)
					grantedRetries += float64(1-received) * config.RetryPercent / 100
					grantedHedges += float64(1-received) * config.HedgePercent / 100
				}
			},
			"settings": func(t *rapid.T) {
				advance()
				config.RetryPercent = float64(rapid.IntRange(0, 100).Draw(t, "percent"))
				p.Set(config, now)
			},
			"again": func(t *rapid.T) {
				advance()
				for p.AllowRetry(state, now).Allowed {
					retries = append(retries, grantedRetries)
				}
			},
			"hedge": func(t *rapid.T) {
				for p.AllowHedge(state, now).Allowed {
					hedges = append(hedges, grantedHedges)
				}
			},
			"": func(t *rapid.T) {
				check(retries, grantedRetries, t)
				check(hedges, grantedHedges, t)
			},
		})
	})
}

// chain is a chain of daemons that each call the next one. The last upstream ends
// every attempt with outcome. If that is Unknown, each daemon before it returns a
// failed answer; if it is NotRun, each returns NotRun.
type chain struct {
	policies []*Policy // nil to decide without a budget
	depth    int
	outcome  call.Outcome
}

// callFrom makes a call at a level and returns the number of calls that reach the
// last upstream.
func (c chain) callFrom(level, received int) (reached int) {
	if level == c.depth {
		return 1
	}
	state := CallState{Idempotent: true, Replayable: true, PriorAttempts: received, LastOutcome: c.outcome, FailedResponse: true}
	if level < c.depth-1 && c.outcome == call.Unknown {
		state.LastOutcome = call.Run
	}
	allowed := func() bool { return Decide(state, epoch).Allowed }
	if c.policies != nil {
		c.policies[level].CountFirst(received)
		allowed = func() bool { return c.policies[level].AllowRetry(state, epoch).Allowed }
	}
	for {
		reached += c.callFrom(level+1, state.Attempt())
		state.AttemptsMade++
		if !allowed() {
			return reached
		}
	}
}

// TestChainDoesNotMultiplyAttempts makes calls through a chain of 17 daemons.
// Three attempts at each level would be 129 million calls at the last upstream.
func TestChainDoesNotMultiplyAttempts(t *testing.T) {
	const depth, calls = 17, 1000
	budgeted := calls + depth*(calls/10+int(initialTokens))
	tests := map[string]struct {
		outcome  call.Outcome
		budget   bool
		maxCalls int
	}{
		"unknown":              {outcome: call.Unknown, maxCalls: calls * (1 + 2*depth)},
		"not run":              {outcome: call.NotRun, maxCalls: calls * (depth + 1) * (depth + 2) / 2},
		"unknown, with budget": {outcome: call.Unknown, budget: true, maxCalls: budgeted},
		"not run, with budget": {outcome: call.NotRun, budget: true, maxCalls: budgeted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := chain{depth: depth, outcome: test.outcome}
			for range depth {
				if test.budget {
					c.policies = append(c.policies, New(Config{Retry: true, RetryPercent: 10}))
				}
			}
			reached := 0
			for range calls {
				reached += c.callFrom(0, 0)
			}
			t.Logf("%d calls at the last upstream for %d at the first daemon", reached, calls)
			if reached > test.maxCalls || reached < test.maxCalls*9/10 {
				t.Fatalf("got %d calls at the last upstream, want at most %d and at least 90 %% of that", reached, test.maxCalls)
			}
		})
	}
}

func TestHedgeAfterFollowsQuantile(t *testing.T) {
	p, random := New(Config{Hedge: true, HedgePercent: 5}), rand.New(rand.NewPCG(1, 1))
	state := CallState{Idempotent: true, Replayable: true, AttemptsMade: 1, Deadline: epoch.Add(time.Second)}
	if _, ok := p.HedgeAfter(state, epoch); ok {
		t.Fatal("HedgeAfter returned a delay without any latency observed")
	}
	for _, scale := range []float64{10, 100, 1} { // milliseconds
		var delays []time.Duration
		for range 20000 {
			p.ObserveLatency(time.Duration(scale * random.ExpFloat64() * 1e6))
			delay, _ := p.HedgeAfter(state, epoch)
			delays = append(delays, delay)
		}
		slices.Sort(delays[10000:])
		got, want := delays[15000].Seconds()*1e3, 3.0*scale // the 95th percentile is ln 20 times the mean
		if got < want*0.8 || got > want*1.2 {
			t.Fatalf("delay %.2f ms, want about %.2f ms", got, want)
		}
	}
	state.Deadline = epoch.Add(time.Millisecond)
	if _, ok := p.HedgeAfter(state, epoch); ok {
		t.Fatal("HedgeAfter allowed a hedge after the deadline")
	}
}
