package soak

import (
	"fmt"
	"time"
)

// EvacuationReport is what reached the upstreams of a zone around an evacuation.
type EvacuationReport struct {
	Zone string
	// Lasted is the time from its beginning to its end.
	Lasted time.Duration
	// Before, During and After count the requests that reached the zone before the
	// beginning, until the end, and later.
	Before, During, After int
	// LastAfter is the time from the beginning to the last request before the end; 0
	// without one.
	LastAfter time.Duration
}

// String formats the report on one line.
func (r EvacuationReport) String() string {
	last := "no request reached it until the end"
	if r.During > 0 {
		last = fmt.Sprintf("%d requests reached it until %.2fs after the beginning, none from then until the end", r.During, r.LastAfter.Seconds())
	}
	return fmt.Sprintf("zone %s was evacuated for %.1fs: %s; %d before, %d after the end", r.Zone, r.Lasted.Seconds(), last, r.Before, r.After)
}

// evacuations returns the reports of all evacuations.
func (h *history) evacuations() []EvacuationReport {
	var reports []EvacuationReport
	for _, p := range h.periods {
		if p.event.Kind != Evacuation {
			continue
		}
		report := EvacuationReport{Zone: p.event.Zone, Lasted: p.to.Sub(p.from)}
		for _, r := range h.runs {
			if h.zones[r.Worker] != p.event.Zone {
				continue
			}
			switch {
			case r.StartedAt.Before(p.from):
				report.Before++
			case r.StartedAt.Before(p.to):
				report.During++
				report.LastAfter = max(report.LastAfter, r.StartedAt.Sub(p.from))
			default:
				report.After++
			}
		}
		reports = append(reports, report)
	}
	return reports
}
