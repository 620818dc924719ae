package main

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelodoor.example/pomelodoor/standin"
)

// maxListed is the maximum number of violations, and of kinds of refusal, that
// are printed.
const maxListed = 10

// reportResult prints the result of the callers and the violations found in it.
// It returns errPromisesBroken if there are any violations.
func reportResult(result standin.Result, executions []standin.Execution, direct bool) error {
	violations := standin.Check(result.History, executions, direct)
	count := map[standin.Promise]int{}
	for _, v := range violations {
		count[v.Promise]++
	}
	fmt.Printf("%-28s %d\n", "requests", result.Sent)
	fmt.Printf("%-28s %d\n", "answered", result.Succeeded)
	fmt.Printf("%-28s %d\n", "not answered", result.Sent-result.Succeeded)
	fmt.Printf("%-28s %d\n", "skipped, too many in flight", result.Skipped)
	fmt.Printf("%-28s %d\n", "resends", len(result.History)-result.Sent)
	fmt.Printf("%-28s %d\n", "executions", len(executions))
	fmt.Printf("%-28s %d\n", "wrong", count[standin.CompleteResponse])
	fmt.Printf("%-28s %d\n", "ran more than once", count[standin.RunOnce])
	fmt.Printf("%-28s %d\n", "reported notRun, but ran", count[standin.NotRunAccurate])
	fmt.Printf("%-28s %d\n", "reported run, but did not", count[standin.RunAccurate])
	fmt.Printf("%-28s %d\n", "no outcome reported", count[standin.OutcomeReported])
	printLatency("latency", result.Latency)
	printRefusals(result.History)
	for i, v := range violations {
		if i == maxListed {
			fmt.Printf("and %d more\n", len(violations)-i)
			break
		}
		fmt.Printf("broken %s: %s: %s\n", v.Promise, v.Token, v.Detail)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations: %w", len(violations), errPromisesBroken)
	}
	return nil
}

// printRefusals prints how many exchanges ended without a valid response, grouped
// by verdict, status, outcome, reason and fault.
func printRefusals(history []standin.Exchange) {
	type refusal struct {
		verdict standin.Verdict
		detail  string
	}
	count := map[refusal]int{}
	var order []refusal
	for _, x := range history {
		if x.Verdict == standin.VerdictOK {
			continue
		}
		r := refusal{x.Verdict, fmt.Sprintf("%d %s %s %s", x.Status, x.Outcome, x.Reason, x.Fault)}
		if count[r] == 0 {
			order = append(order, r)
		}
		count[r]++
	}
	for i, r := range order {
		if i == maxListed {
			fmt.Printf("  and %d other kinds\n", len(order)-i)
			break
		}
		fmt.Printf("  %5d %s: %s\n", count[r], r.verdict, r.detail)
	}
}

// printLatency prints percentiles, in milliseconds, of a histogram in microseconds.
func printLatency(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%-28s p50 %.2f ms, p99 %.2f ms, max %.2f ms (%d)\n", name,
		millis(h.ValueAtPercentile(50)), millis(h.ValueAtPercentile(99)), millis(h.Max()), h.TotalCount())
}

// millis converts microseconds to milliseconds.
func millis(us int64) float64 { return float64(us) / 1000 }
