package heartbeat

import (
	"testing"
	"time"
)

// TestAnswersOfStoppedProcess guards against counting an answer of the store as new that
// waited in its socket while the process was stopped.
func TestAnswersOfStoppedProcess(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		beats  []int
		ms     int
		wantMs int
	}{
		"running":                     {[]int{0, 50, 100}, 130, 130},
		"before the first beat":       {nil, 130, 130},
		"read before the first beat":  {[]int{0, 50}, 900, 50},
		"read after the first beat":   {[]int{0, 50, 900}, 901, 50},
		"read soon after the gap":     {[]int{0, 50, 900, 950}, 1000, 50},
		"answer that came afterwards": {[]int{0, 50, 900, 950, 1000, 1050, 1100}, 1100, 1100},
		"beats that are a bit late":   {[]int{0, 50, 200}, 390, 390},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var m Monitor
			for _, ms := range test.beats {
				m.Beat(at(ms))
			}
			if got := m.ReceivedBy(at(test.ms)); !got.Equal(at(test.wantMs)) {
				t.Fatalf("got %s, want %s", got.Sub(at(0)), at(test.wantMs).Sub(at(0)))
			}
		})
	}
}
