package experiment

import (
	"fmt"
	"io"
	"slices"
)

// Row holds the results of one policy, one for each round.
type Row struct {
	Policy  string
	Results []Result
}

// Spread is the median, the least and the greatest of some figures.
type Spread struct {
	Median, Least, Greatest float64
}

// SpreadOf returns the spread of some figures, which it sorts; zeros for none.
func SpreadOf(figures []float64) Spread {
	if len(figures) == 0 {
		return Spread{}
	}
	slices.Sort(figures)
	n := len(figures)
	return Spread{Median: (figures[(n-1)/2] + figures[n/2]) / 2, Least: figures[0], Greatest: figures[n-1]}
}

// Over returns the spread of one figure over the rounds.
func (r Row) Over(figure func(Result) float64) Spread {
	var figures []float64
	for _, result := range r.Results {
		figures = append(figures, figure(result))
	}
	return SpreadOf(figures)
}

// Ratio returns the spread of the ratios to another policy's figure in the same
// round.
func (r Row) Ratio(to Row, figure func(Result) float64) Spread {
	var ratios []float64
	for i := range min(len(r.Results), len(to.Results)) {
		if base := figure(to.Results[i]); base > 0 {
			ratios = append(ratios, figure(r.Results[i])/base)
		}
	}
	return SpreadOf(ratios)
}

// Quantile returns the figure of a latency in milliseconds.
func Quantile(q float64) func(Result) float64 {
	return func(r Result) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
}

// percent returns a figure that is a share, in percent.
func percent(part, whole func(Result) float64) func(Result) float64 {
	return func(r Result) float64 {
		if whole(r) == 0 {
			return 0
		}
		return 100 * part(r) / whole(r)
	}
}

func sent(r Result) float64     { return float64(r.Sent) }
func answered(r Result) float64 { return float64(r.Answered) }
func cross(r Result) float64    { return float64(r.CrossZone) }
func further(r Result) float64  { return float64(r.Spent.Further) }
func handedOn(r Result) float64 { return float64(r.Spent.HandedOn) }
func probes(r Result) float64   { return r.PerUpstream(r.Spent.Probes) }
func control(r Result) float64  { return r.PerUpstream(r.Spent.ControlBytes) }

func violations(r Result) float64 { return float64(len(r.Violations)) }

// tableHead names the columns; latencies are in milliseconds.
const tableHead = `| policy | p50 | p99 (spread) | p99.9 | p99 to oracle (spread) | answered % | goodput/s | cross-zone % | further % | handed on % | probes/s | control B/s | broken |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteTable prints rows as a table in Markdown: medians over the rounds, with
// the least and the greatest where it says spread. Ratios are taken to the row
// with the name oracle. Probes and bytes are for each upstream.
func WriteTable(w io.Writer, rows []Row, oracle string) error {
	var best Row
	for _, r := range rows {
		if r.Policy == oracle {
			best = r
		}
	}
	if _, err := io.WriteString(w, tableHead); err != nil {
		return fmt.Errorf("write a table: %w", err)
	}
	for _, r := range rows {
		p99 := r.Over(Quantile(99))
		ratio := r.Ratio(best, Quantile(99))
		_, err := fmt.Fprintf(w, "| %s | %.1f | %.1f (%.1f–%.1f) | %.1f | %.2f (%.2f–%.2f) | %.2f | %.0f | %.1f | %.2f | %.2f | %.2f | %.0f | %.0f |\n",
			r.Policy, r.Over(Quantile(50)).Median, p99.Median, p99.Least, p99.Greatest, r.Over(Quantile(99.9)).Median,
			ratio.Median, ratio.Least, ratio.Greatest,
			r.Over(percent(answered, sent)).Median, r.Over(Result.Goodput).Median,
			r.Over(percent(cross, answered)).Median, r.Over(percent(further, sent)).Median, r.Over(percent(handedOn, sent)).Median,
			r.Over(probes).Median, r.Over(control).Median, r.Over(violations).Greatest)
		if err != nil {
			return fmt.Errorf("write a table: %w", err)
		}
	}
	return nil
}
