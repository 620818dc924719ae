package burn

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// String returns the report as a table with one line per service, the most urgent
// first. Rates are in the order of Windows.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d daemons at %s, counting since %s, %d calls dropped\n",
		r.Daemons, formatTime(r.At), formatTime(r.Since), r.Dropped)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "service\talert\tlatency alert\tcalls 6h\tfailed 6h\tslow 6h\tburn 5m 30m 1h 6h\tlatency burn 5m 30m 1h 6h\tleft 6h\tlatency left 6h")
	for _, s := range r.byUrgency() {
		all := s.count(SixHours)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%.0f%%\t%.0f%%\n",
			s.Name, s.Alert, s.LatencyAlert, all.Calls, all.Failed, all.Slow,
			s.formatRates(func(c Count) float64 { return c.BurnRate }),
			s.formatRates(func(c Count) float64 { return c.LatencyBurnRate }),
			100*all.BudgetLeft, 100*all.LatencyBudgetLeft)
	}
	_ = w.Flush() // writing to a strings.Builder does not fail
	return b.String()
}

// formatRates returns one rate per window.
func (s *Service) formatRates(rate func(Count) float64) string {
	texts := make([]string, 0, len(Windows()))
	for _, window := range Windows() {
		texts = append(texts, fmt.Sprintf("%.1f", rate(s.count(window))))
	}
	return strings.Join(texts, " ")
}

// byUrgency returns the services sorted by alert, then by the burn rate of the last
// hour.
func (r Report) byUrgency() []Service {
	services := slices.Clone(r.Services)
	slices.SortStableFunc(services, func(x, y Service) int {
		return cmp.Or(
			cmp.Compare(x.rank(), y.rank()),
			cmp.Compare(y.maxHourlyBurn(), x.maxHourlyBurn()),
		)
	})
	return services
}

func (s *Service) rank() int { return min(s.Alert.rank(), s.LatencyAlert.rank()) }

func (s *Service) maxHourlyBurn() float64 {
	c := s.count(OneHour)
	return max(c.BurnRate, c.LatencyBurnRate)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
