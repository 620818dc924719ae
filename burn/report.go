package burn

import (
	"math"
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// Report is the burn of services at one time, for one daemon or summed over several.
// It is sent as JSON.
type Report struct {
	// Instance is the name of the daemon, or empty for a sum.
	Instance string `json:"instance,omitempty"`
	// Daemons is the number of reports in the sum.
	Daemons int `json:"daemons"`
	// At is the time of the newest report.
	At time.Time `json:"at"`
	// Since is the time of the first call at any daemon. Windows that start
	// before it are incomplete.
	Since time.Time `json:"since"`
	// Dropped is the number of calls that were not counted because the limit
	// of services was reached.
	Dropped  uint64    `json:"dropped"`
	Services []Service `json:"services"`
}

// Service is the burn of one service.
type Service struct {
	Name         string       `json:"name"`
	ServiceLevel ServiceLevel `json:"level"`
	// Alert is for failed calls, LatencyAlert for slow ones.
	Alert        Alert   `json:"alert"`
	LatencyAlert Alert   `json:"latencyAlert"`
	Windows      []Count `json:"windows"`
}

// ServiceLevel is the service level that a service must meet.
type ServiceLevel struct {
	// Availability is the required share of successful calls, in percent.
	Availability float64 `json:"availability"`
	// LatencyMs is the latency in milliseconds that LatencyPercent of the
	// successful calls must not exceed.
	LatencyMs      float64 `json:"latencyMs"`
	LatencyPercent float64 `json:"latencyPercent"`
}

// Count holds the counts and rates of one window.
type Count struct {
	Window Window `json:"window"`
	Calls  uint64 `json:"calls"`
	// Failed is the number of failed calls.
	Failed uint64 `json:"failed"`
	// Slow is the number of successful calls that exceeded the latency of the
	// level.
	Slow uint64 `json:"slow"`
	// BurnRate is the share of failed calls divided by the share that the level
	// allows. LatencyBurnRate is the same for slow calls among successful ones.
	BurnRate        float64 `json:"burnRate"`
	LatencyBurnRate float64 `json:"latencyBurnRate"`
	// BudgetLeft is the remaining share of the failures that the level allows
	// in this window: 1 if there were none, negative if it is exceeded.
	BudgetLeft        float64 `json:"budgetLeft"`
	LatencyBudgetLeft float64 `json:"latencyBudgetLeft"`
}

func newServiceLevel(l config.ServiceLevel) ServiceLevel {
	return ServiceLevel{
		Availability:   l.Availability(),
		LatencyMs:      float64(l.Latency()) / float64(time.Millisecond),
		LatencyPercent: l.LatencyPercent(),
	}
}

// stricter returns the stricter value of l and other for each objective.
func (l ServiceLevel) stricter(other ServiceLevel) ServiceLevel {
	return ServiceLevel{
		Availability:   max(l.Availability, other.Availability),
		LatencyMs:      min(l.LatencyMs, other.LatencyMs),
		LatencyPercent: max(l.LatencyPercent, other.LatencyPercent),
	}
}

// count returns the counts of window, or zero counts if there are none.
func (s *Service) count(window Window) Count {
	for _, c := range s.Windows {
		if c.Window == window {
			return c
		}
	}
	return Count{Window: window}
}

// derive computes rates and alerts from the counts.
func (s *Service) derive() {
	for i := range s.Windows {
		c := &s.Windows[i]
		successful := c.Calls - min(c.Failed, c.Calls)
		c.BurnRate = burnRate(c.Failed, c.Calls, s.ServiceLevel.Availability)
		c.LatencyBurnRate = burnRate(c.Slow, successful, s.ServiceLevel.LatencyPercent)
		c.BudgetLeft = 1 - c.BurnRate
		c.LatencyBudgetLeft = 1 - c.LatencyBurnRate
	}
	s.Alert = alert(
		func(w Window) float64 { return s.count(w).BurnRate },
		func(w Window) uint64 { return s.count(w).Failed },
	)
	s.LatencyAlert = alert(
		func(w Window) float64 { return s.count(w).LatencyBurnRate },
		func(w Window) uint64 { return s.count(w).Slow },
	)
}

// burnRate returns the share of bad among all calls divided by the share that an
// objective in percent allows, rounded to three decimals. It is 0 if there were no
// calls or the objective allows no bad ones.
func burnRate(bad, all uint64, objective float64) float64 {
	allowed := (100 - objective) / 100
	if all == 0 || allowed <= 0 {
		return 0
	}
	return math.Round(1000*float64(bad)/float64(all)/allowed) / 1000
}

func (r *Report) sort() {
	slices.SortFunc(r.Services, func(x, y Service) int { return strings.Compare(x.Name, y.Name) })
}
