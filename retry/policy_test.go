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
	order := Try{Made: 1, Last: call.NotRun, Replayable: true, BodyTaken: true, Deadline: epoch.Add(time.Second)}
	lookup := order
	lookup.Idempotent, lookup.Last = true, call.Unknown
	tests := map[string]struct {
		try    Try
		change func(*Try)
		want   Rule
	}{
		"order, proved not run":       {try: order, want: RuleAllowed},
		"order, unknown":              {try: order, change: func(t *Try) { t.Last = call.Unknown }, want: RuleNotIdempotent},
		"order, failed answer":        {try: order, change: func(t *Try) { t.Last, t.Failed = call.Run, true }, want: RuleNotIdempotent},
		"order, body gone":            {try: order, change: func(t *Try) { t.Replayable = false }, want: RuleBody},
		"order, body not begun":       {try: order, change: func(t *Try) { t.Replayable, t.BodyTaken = false, false }, want: RuleAllowed},
		"order, from above, notRun":   {try: order, change: func(t *Try) { t.Above = 1 }, want: RuleAllowed},
		"order, from above too often": {try: order, change: func(t *Try) { t.Above = 2 }, want: RuleAttempts},
		"lookup, unknown":             {try: lookup, want: RuleAllowed},
		"lookup, answered":            {try: lookup, change: func(t *Try) { t.Last = call.Run }, want: RuleAnswered},
		"lookup, failed answer":       {try: lookup, change: func(t *Try) { t.Last, t.Failed = call.Run, true }, want: RuleAllowed},
		"lookup, third":               {try: lookup, change: func(t *Try) { t.Made = 2 }, want: RuleAllowed},
		"lookup, fourth":              {try: lookup, change: func(t *Try) { t.Made = 3 }, want: RuleAttempts},
		"lookup, from above":          {try: lookup, change: func(t *Try) { t.Above = 1 }, want: RuleDepth},
		"lookup, too late":            {try: lookup, change: func(t *Try) { t.Deadline = epoch }, want: RuleDeadline},
		"lookup, no time for answer":  {try: lookup, change: func(t *Try) { t.Need = time.Second }, want: RuleDeadline},
		"lookup, no deadline":         {try: lookup, change: func(t *Try) { t.Deadline = time.Time{} }, want: RuleAllowed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.change != nil {
				test.change(&test.try)
			}
			if got := Decide(test.try, epoch); got.Rule != test.want || got.Allowed != (test.want == RuleAllowed) {
				t.Fatalf("got %+v", got)
			}
		})
	}
}

func TestSwitches(t *testing.T) {
	try := Try{Idempotent: true, Replayable: true, Made: 1, Last: call.Unknown}
	tests := map[string]struct {
		config       Config
		again, hedge Rule
	}{
		"all off":     {again: RuleOff, hedge: RuleOff},
		"retry":       {config: Config{Retry: true, RetryPercent: 10}, again: RuleAllowed, hedge: RuleOff},
		"hedge":       {config: Config{Hedge: true, HedgePercent: 100}, again: RuleOff, hedge: RuleAllowed},
		"no hedges":   {config: Config{Hedge: true}, again: RuleOff, hedge: RuleBudget},
		"no retries":  {config: Config{Retry: true}, again: RuleBudget, hedge: RuleOff},
		"not numbers": {config: Config{Retry: true, RetryPercent: math.NaN(), Hedge: true, HedgePercent: math.NaN()}, again: RuleBudget, hedge: RuleBudget},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(test.config)
			p.First(0)
			if again, hedge := p.Again(try, epoch), p.Hedge(try, epoch); again.Rule != test.again || hedge.Rule != test.hedge {
				t.Fatalf("got %+v, %+v", again, hedge)
			}
		})
	}
}

// TestBudgetHolds checks that in every window the further attempts are within
// the share of the first ones, the floor, and one bucket.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, latest := epoch, epoch
		config := Config{Retry: true, RetryPercent: 10, Hedge: true, HedgePercent: 5}
		p := New(config)
		p.Set(config, now)            // the clock is known from here
		var retries, hedges []float64 // what was given at each
		var givenRetries, givenHedges float64
		try := Try{Idempotent: true, Replayable: true, Made: 1, Last: call.Unknown}
		read := func() { // a window is as long as the readings of the clock say
			if now.After(latest) {
				givenRetries += p.floor() * now.Sub(latest).Seconds()
				latest = now
			}
		}
		check := func(spent []float64, given float64, t *rapid.T) {
			for i := range spent {
				if n := float64(len(spent) - i); n > bucketSize+given-spent[i]+1e-6 {
					t.Fatalf("%v attempts where %v were given", n, given-spent[i])
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(-1e9, 10e9).Draw(t, "ns")))
			},
			"first": func(t *rapid.T) {
				above := rapid.IntRange(0, 1).Draw(t, "above")
				for range rapid.IntRange(1, 300).Draw(t, "n") {
					p.First(above)
					givenRetries += float64(1-above) * config.RetryPercent / 100
					givenHedges += float64(1-above) * config.HedgePercent / 100
				}
			},
			"settings": func(t *rapid.T) {
				read()
				config.RetryPercent = float64(rapid.IntRange(0, 100).Draw(t, "percent"))
				p.Set(config, now)
			},
			"again": func(t *rapid.T) {
				read()
				for p.Again(try, now).Allowed {
					retries = append(retries, givenRetries)
				}
			},
			"hedge": func(t *rapid.T) {
				for p.Hedge(try, now).Allowed {
					hedges = append(hedges, givenHedges)
				}
			},
			"": func(t *rapid.T) {
				check(retries, givenRetries, t)
				check(hedges, givenHedges, t)
			},
		})
	})
}

// chain is a row of daemons that call each other in turn. The last upstream
// answers every attempt with outcome, and each one above with a failed answer
// or, when the fault is notRun, with that.
type chain struct {
	policies []*Policy // nil for the rules without a budget
	depth    int
	outcome  call.Outcome
}

// reach makes one call at a level and returns the calls at the last upstream.
func (c chain) reach(level, above int) (reached int) {
	if level == c.depth {
		return 1
	}
	try := Try{Idempotent: true, Replayable: true, Above: above, Last: c.outcome, Failed: true}
	if level < c.depth-1 && c.outcome == call.Unknown {
		try.Last = call.Run
	}
	again := func() bool { return Decide(try, epoch).Allowed }
	if c.policies != nil {
		c.policies[level].First(above)
		again = func() bool { return c.policies[level].Again(try, epoch).Allowed }
	}
	for {
		reached += c.reach(level+1, try.Attempt())
		try.Made++
		if !again() {
			return reached
		}
	}
}

// TestDepthDoesNotMultiply calls 17 deep, where three attempts at each level
// would be 129 million calls at the last.
func TestDepthDoesNotMultiply(t *testing.T) {
	const depth, calls = 17, 1000
	budgeted := calls + depth*(calls/10+int(firstTokens))
	tests := map[string]struct {
		outcome call.Outcome
		budget  bool
		most    int
	}{
		"unknown":              {outcome: call.Unknown, most: calls * (1 + 2*depth)},
		"not run":              {outcome: call.NotRun, most: calls * (depth + 1) * (depth + 2) / 2},
		"unknown, with budget": {outcome: call.Unknown, budget: true, most: budgeted},
		"not run, with budget": {outcome: call.NotRun, budget: true, most: budgeted},
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
				reached += c.reach(0, 0)
			}
			t.Logf("%d calls at the last upstream for %d", reached, calls)
			if reached > test.most || reached < test.most*9/10 {
				t.Fatalf("%d calls, want at most %d", reached, test.most)
			}
		})
	}
}

func TestHedgeAfterFollowsTheQuantile(t *testing.T) {
	p, random := New(Config{Hedge: true, HedgePercent: 5}), rand.New(rand.NewPCG(1, 1))
	try := Try{Idempotent: true, Replayable: true, Made: 1, Deadline: epoch.Add(time.Second)}
	if _, ok := p.HedgeAfter(try, epoch); ok {
		t.Fatal("a delay out of nothing")
	}
	for _, scale := range []float64{10, 100, 1} { // milliseconds
		var delays []time.Duration
		for range 20000 {
			p.Answered(time.Duration(scale * random.ExpFloat64() * 1e6))
			delay, _ := p.HedgeAfter(try, epoch)
			delays = append(delays, delay)
		}
		slices.Sort(delays[10000:])
		got, want := delays[15000].Seconds()*1e3, 3.0*scale // the 95th percentile is ln 20 times the mean
		if got < want*0.8 || got > want*1.2 {
			t.Fatalf("delay %.2f ms, want about %.2f ms", got, want)
		}
	}
	try.Deadline = epoch.Add(time.Millisecond)
	if _, ok := p.HedgeAfter(try, epoch); ok {
		t.Fatal("a hedge past the deadline")
	}
}
