package soak

import (
	"testing"
	"time"
)

// TestEvacuationReport guards against a report that counts requests of other zones, or hides
// those that reached an evacuated zone.
func TestEvacuationReport(t *testing.T) {
	tests := map[string]struct {
		zone         string
		fromMs, toMs int
		want         EvacuationReport
	}{
		"before":     {"a", 6, 106, EvacuationReport{Zone: "a", Lasted: 100 * time.Millisecond, Before: 1}},
		"during":     {"a", 2, 102, EvacuationReport{Zone: "a", Lasted: 100 * time.Millisecond, During: 1, LastAfter: 3 * time.Millisecond}},
		"after":      {"a", -100, 0, EvacuationReport{Zone: "a", Lasted: 100 * time.Millisecond, After: 1}},
		"other zone": {"b", 0, 100, EvacuationReport{Zone: "b", Lasted: 100 * time.Millisecond}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := goodHistory()
			h.addEvacuation(test.zone, test.fromMs, test.toMs)
			if got := h.evacuations(); len(got) != 1 || got[0] != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
