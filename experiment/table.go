package experiment

import (
	"fmt"
	"io"
	"slices"
)

// Row holds the results of one policy, one per round.
type Row struct {
	Policy  string
	Results []Result
}

// Spread holds the median, the minimum and the maximum of some values.
type Spread struct {
	Median, Min, Max float64
}

// SpreadOf returns the spread of values, which it sorts in place. It returns zeros if
// there are none.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}

// Summarize returns the spread of a metric over the rounds.
func (r Row) Summarize(metric func(Result) float64) Spread {
	var values []float64
	for _, result := range r.Results {
		values = append(values, metric(result))
	}
	return SpreadOf(values)
}

// Ratio returns the spread of the ratios of a metric to that of a reference policy in
// the same round.
func (r Row) Ratio(reference Row, metric func(Result) float64) Spread {
	var ratios []float64
	for i := range min(len(r.Results), len(reference.Results)) {
		if base := metric(reference.Results[i]); base > 0 {
			ratios = append(ratios, metric(r.Results[i])/base)
		}
	}
	return SpreadOf(ratios)
}

// LatencyQuantileMs returns the metric of a latency quantile in milliseconds. q is in
// percent.
func LatencyQuantileMs(q float64) func(Result) float64 {
	return func(r Result) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
}

// percent returns the metric of a share, in percent; it is 0 if the whole is 0.
func percent(part, whole func(Result) float64) func(Result) float64 {
	return func(r Result) float64 {
		if whole(r) == 0 {
			return 0
		}
		return 100 * part(r) / whole(r)
	}
}

func sent(r Result) float64                    { return float64(r.Sent) }
func answered(r Result) float64                { return float64(r.Answered) }
func crossZone(r Result) float64               { return float64(r.CrossZone) }
func furtherAttempts(r Result) float64         { return float64(r.Overhead.FurtherAttempts) }
func handedOn(r Result) float64                { return float64(r.Overhead.HandedOn) }
func probesPerUpstream(r Result) float64       { return r.PerUpstream(r.Overhead.Probes) }
func controlBytesPerUpstream(r Result) float64 { return r.PerUpstream(r.Overhead.ControlBytes) }

func violations(r Result) float64 { return float64(len(r.Violations)) }

// tableHeader names the columns. Latencies are in milliseconds.
const tableHeader = `| policy | p50 | p99 (spread) | p99.9 | p99 to oracle (spread) | answered % | goodput/s | cross-zone % | further % | handed on % | probes/s | control B/s | broken |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteTable writes rows as a Markdown table. Cells are medians over the rounds, with
// the minimum and the maximum in columns marked as spread; violations are the maximum.
// Ratios refer to the row of the policy named by oracle. Probes and control bytes are
// per upstream.
func WriteTable(w io.Writer, rows []Row, oracle string) error {
	var oracleRow Row
	for _, r := range rows {
		if r.Policy == oracle {
			oracleRow = r
		}
	}
	if _, err := io.WriteString(w, tableHeader); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, r := range rows {
		p99 := r.Summarize(LatencyQuantileMs(99))
		ratio := r.Ratio(oracleRow, LatencyQuantileMs(99))
		_, err := fmt.Fprintf(w, "| %s | %.1f | %.1f (%.1f–%.1f) | %.1f | %.2f (%.2f–%.2f) | %.2f | %.0f | %.1f | %.2f | %.2f | %.2f | %.0f | %.0f |\n",
			r.Policy, r.Summarize(LatencyQuantileMs(50)).Median, p99.Median, p99.Min, p99.Max, r.Summarize(LatencyQuantileMs(99.9)).Median,
			ratio.Median, ratio.Min, ratio.Max,
			r.Summarize(percent(answered, sent)).Median, r.Summarize(Result.Goodput).Median,
			r.Summarize(percent(crossZone, answered)).Median, r.Summarize(percent(furtherAttempts, sent)).Median, r.Summarize(percent(handedOn, sent)).Median,
			r.Summarize(probesPerUpstream).Median, r.Summarize(controlBytesPerUpstream).Median, r.Summarize(violations).Max)
		if err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	return nil
}
