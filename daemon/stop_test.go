package daemon

import (
	"testing"
	"time"
)

func TestStopTimesRespectPlatformGrace(t *testing.T) {
	tests := map[string]struct {
		maxStop, drain float64
		bounds         string
		wantStop       time.Duration
		wantDrain      time.Duration
		wantPortsClose time.Duration
	}{
		"no platform":                {600, 3, "", 600 * time.Second, 3 * time.Second, 598500 * time.Millisecond},
		"grace of 6 s":               {600, 2.5, `{"grace":"6s"}`, 5400 * time.Millisecond, 2500 * time.Millisecond, 3900 * time.Millisecond},
		"grace of 3 s":               {600, 2.5, `{"grace":"3s"}`, 2400 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond},
		"less than stopMargin":       {600, 2.5, `{"grace":"500ms"}`, 0, 0, 0},
		"MaxStopSeconds below grace": {4, 1, `{"grace":"6s"}`, 4 * time.Second, time.Second, 2500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{MaxStopSeconds: test.maxStop, DrainSeconds: test.drain, Bounds: test.bounds, Store: "127.0.0.1:1"}
			s.checkStore(func(flag, text string) { t.Fatalf("--%s %s", flag, text) })
			if s.maxStop() != test.wantStop || s.drainTime() != test.wantDrain || s.portsCloseBy() != test.wantPortsClose {
				t.Fatalf("got maxStop %s, drainTime %s, portsCloseBy %s", s.maxStop(), s.drainTime(), s.portsCloseBy())
			}
		})
	}
}

// TestStopWaitsForRunningRequests guards against a stop that gives up requests at which an
// upstream is at work before the last sixth of the platform's time limit.
func TestStopWaitsForRunningRequests(t *testing.T) {
	const grace = 6 * time.Second
	s := Settings{MaxStopSeconds: 600, DrainSeconds: 2.5, Bounds: `{"grace":"6s"}`, Store: "127.0.0.1:1"}
	s.checkStore(func(flag, text string) { t.Fatalf("--%s %s", flag, text) })
	if answerBy := s.maxStop() - answerReserve; answerBy < grace*5/6 {
		t.Fatalf("the last requests are answered %s after the start of the stop, want at least %s", answerBy, grace*5/6)
	}
}
