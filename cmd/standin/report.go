package main

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/standin"
)

// shownViolations bounds how many broken promises are written out.
const shownViolations = 10

// report prints what callers saw and returns errPromiseBroken when they were
// let down.
func report(result standin.Result, executions []standin.Execution, direct bool) error {
	broken := standin.Check(result.History, executions, direct)
	count := map[standin.Promise]int{}
	for _, v := range broken {
		count[v.Promise]++
	}
	fmt.Printf("%-28s %d\n", "requests", result.Sent)
	fmt.Printf("%-28s %d\n", "answered", result.Answered)
	fmt.Printf("%-28s %d\n", "not answered", result.Sent-result.Answered)
	fmt.Printf("%-28s %d\n", "not sent, too many open", result.Skipped)
	fmt.Printf("%-28s %d\n", "sent again", len(result.History)-result.Sent)
	fmt.Printf("%-28s %d\n", "executions", len(executions))
	fmt.Printf("%-28s %d\n", "wrong", count[standin.WholeAnswer])
	fmt.Printf("%-28s %d\n", "run twice", count[standin.RunOnce])
	fmt.Printf("%-28s %d\n", "told notRun, but ran", count[standin.NotRunHolds])
	fmt.Printf("%-28s %d\n", "told run, but ran not", count[standin.RunHolds])
	fmt.Printf("%-28s %d\n", "not told the outcome", count[standin.OutcomeTold])
	printTimes("latency", result.Latency)
	printRefusals(result.History)
	for i, v := range broken {
		if i == shownViolations {
			fmt.Printf("and %d more\n", len(broken)-i)
			break
		}
		fmt.Printf("broken %s: %s: %s\n", v.Promise, v.Token, v.Detail)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d times: %w", len(broken), errPromiseBroken)
	}
	return nil
}

// printRefusals counts the exchanges without a whole answer by what was told.
func printRefusals(history []standin.Exchange) {
	type told struct {
		verdict standin.Verdict
		words   string
	}
	count := map[told]int{}
	var order []told
	for _, x := range history {
		if x.Verdict == standin.Fine {
			continue
		}
		t := told{x.Verdict, fmt.Sprintf("%d %s %s %s", x.Status, x.Outcome, x.Reason, x.Fault)}
		if count[t] == 0 {
			order = append(order, t)
		}
		count[t]++
	}
	for i, t := range order {
		if i == shownViolations {
			fmt.Printf("  and %d other answers\n", len(order)-i)
			break
		}
		fmt.Printf("  %5d %s: %s\n", count[t], t.verdict, t.words)
	}
}

// printTimes prints percentiles of a histogram of microseconds.
func printTimes(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-28s p50 %.2f ms, p99 %.2f ms, max %.2f ms (%d)\n", name,
		ms(h.ValueAtPercentile(50)), ms(h.ValueAtPercentile(99)), ms(h.Max()), h.TotalCount())
}

// ms turns microseconds into milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }
