package burn

import (
	"math"
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// Report is the burn of all services at one moment, at one daemon or added up
// over several. It is sent as JSON.
type Report struct {
	// Instance is the daemon, or empty for several.
	Instance string `json:"instance,omitempty"`
	// Daemons counts the reports that were added up.
	Daemons int `json:"daemons"`
	// At is the moment of the newest report.
	At time.Time `json:"at"`
	// Since is the first call of any daemon. Windows that began before it are
	// not full.
	Since time.Time `json:"since"`
	// Dropped counts calls of services for which there was no room.
	Dropped  uint64    `json:"dropped"`
	Services []Service `json:"services"`
}

// Service is the burn of one service.
type Service struct {
	Name  string `json:"name"`
	Level Level  `json:"level"`
	// Alert is for failed calls, LatencyAlert for slow ones.
	Alert        Alert   `json:"alert"`
	LatencyAlert Alert   `json:"latencyAlert"`
	Windows      []Count `json:"windows"`
}

// Level is the service level against which a service is held.
type Level struct {
	// Availability is the share of calls to be answered, in percent.
	Availability float64 `json:"availability"`
	// LatencyMs is the time within which LatencyPercent of the answers are to
	// be given.
	LatencyMs      float64 `json:"latencyMs"`
	LatencyPercent float64 `json:"latencyPercent"`
}

// Count is what happened in one window.
type Count struct {
	Window Window `json:"window"`
	Calls  uint64 `json:"calls"`
	// Failed counts calls that were not answered.
	Failed uint64 `json:"failed"`
	// Slow counts calls that were answered too late for the level.
	Slow uint64 `json:"slow"`
	// BurnRate is the share of failed calls in units of the share that the
	// level allows; LatencyBurnRate is the same for slow ones among answers.
	BurnRate        float64 `json:"burnRate"`
	LatencyBurnRate float64 `json:"latencyBurnRate"`
	// BudgetLeft is what is left of the failures that the level allows for the
	// calls of this window: 1 is all of it, below 0 is overspent.
	BudgetLeft        float64 `json:"budgetLeft"`
	LatencyBudgetLeft float64 `json:"latencyBudgetLeft"`
}

func newLevel(l config.Level) Level {
	return Level{
		Availability:   l.Availability(),
		LatencyMs:      float64(l.Latency()) / float64(time.Millisecond),
		LatencyPercent: l.LatencyPercent(),
	}
}

// stricter returns the stricter part of each of l and other.
func (l Level) stricter(other Level) Level {
	return Level{
		Availability:   max(l.Availability, other.Availability),
		LatencyMs:      min(l.LatencyMs, other.LatencyMs),
		LatencyPercent: max(l.LatencyPercent, other.LatencyPercent),
	}
}

// count returns what happened in window, or nothing when it is missing.
func (s *Service) count(window Window) Count {
	for _, c := range s.Windows {
		if c.Window == window {
			return c
		}
	}
	return Count{Window: window}
}

// derive works out rates and alerts from the counts.
func (s *Service) derive() {
	for i := range s.Windows {
		c := &s.Windows[i]
		answered := c.Calls - min(c.Failed, c.Calls)
		c.BurnRate = burnRate(c.Failed, c.Calls, s.Level.Availability)
		c.LatencyBurnRate = burnRate(c.Slow, answered, s.Level.LatencyPercent)
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

// burnRate returns the share of bad among all in units of the share that an
// objective in percent allows, to three decimals. It is 0 when there was
// nothing to go wrong.
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
