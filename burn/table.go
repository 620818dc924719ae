package burn

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// String returns the report as a table with one line for each service, the
// most urgent first. Rates stand in the order of Windows.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d daemons at %s, counting since %s, %d calls dropped\n",
		r.Daemons, stamp(r.At), stamp(r.Since), r.Dropped)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "service\talert\tlatency alert\tcalls 6h\tfailed 6h\tslow 6h\tburn 5m 30m 1h 6h\tlatency burn 5m 30m 1h 6h\tleft 6h\tlatency left 6h")
	for _, s := range r.urgent() {
		all := s.count(SixHours)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%.0f%%\t%.0f%%\n",
			s.Name, s.Alert, s.LatencyAlert, all.Calls, all.Failed, all.Slow,
			s.rates(func(c Count) float64 { return c.BurnRate }),
			s.rates(func(c Count) float64 { return c.LatencyBurnRate }),
			100*all.BudgetLeft, 100*all.LatencyBudgetLeft)
	}
	_ = w.Flush() // a strings.Builder takes all
	return b.String()
}

// rates returns one number for each window.
func (s *Service) rates(of func(Count) float64) string {
	texts := make([]string, 0, len(Windows()))
	for _, window := range Windows() {
		texts = append(texts, fmt.Sprintf("%.1f", of(s.count(window))))
	}
	return strings.Join(texts, " ")
}

// urgent returns the services by alert, then by the burn of the last hour.
func (r Report) urgent() []Service {
	services := slices.Clone(r.Services)
	slices.SortStableFunc(services, func(x, y Service) int {
		return cmp.Or(
			cmp.Compare(x.rank(), y.rank()),
			cmp.Compare(y.worst(), x.worst()),
		)
	})
	return services
}

func (s *Service) rank() int { return min(s.Alert.rank(), s.LatencyAlert.rank()) }

func (s *Service) worst() float64 {
	c := s.count(OneHour)
	return max(c.BurnRate, c.LatencyBurnRate)
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}
