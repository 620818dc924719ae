package daemon

import (
	"testing"
	"time"
)

func TestStopKeepsToThePlatformsTime(t *testing.T) {
	tests := map[string]struct {
		maxStop, drain float64
		bounds         string
		wantStop       time.Duration
		wantDrain      time.Duration
		wantDoor       time.Duration
	}{
		"no platform":        {600, 3, "", 600 * time.Second, 3 * time.Second, 598500 * time.Millisecond},
		"six seconds":        {600, 2.5, `{"grace":"6s"}`, 5200 * time.Millisecond, 2500 * time.Millisecond, 3700 * time.Millisecond},
		"three seconds":      {600, 2.5, `{"grace":"3s"}`, 2200 * time.Millisecond, 1100 * time.Millisecond, 1100 * time.Millisecond},
		"less than a margin": {600, 2.5, `{"grace":"500ms"}`, 0, 0, 0},
		"own limit is less":  {4, 1, `{"grace":"6s"}`, 4 * time.Second, time.Second, 2500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{MaxStopSeconds: test.maxStop, DrainSeconds: test.drain, Bounds: test.bounds, Store: "127.0.0.1:1"}
			s.checkStore(func(flag, text string) { t.Fatalf("--%s %s", flag, text) })
			if s.maxStop() != test.wantStop || s.drain() != test.wantDrain || s.lastDoor() != test.wantDoor {
				t.Fatalf("stops within %s, drains %s, closes after %s", s.maxStop(), s.drain(), s.lastDoor())
			}
		})
	}
}
