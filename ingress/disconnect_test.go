package ingress

import (
	"net"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/heartbeat"
)

// TestCallerLeftOfLateProcess guards against a late process that sends on the request of a
// caller that has left, and a process in time that turns away a caller which has closed
// only its side of the connection.
func TestCallerLeftOfLateProcess(t *testing.T) {
	start := time.Now()
	tests := map[string]struct {
		beats []time.Duration
		at    time.Duration
		late  bool
	}{
		"no beat yet":             {nil, time.Second, false},
		"in time":                 {[]time.Duration{0, 50 * time.Millisecond}, 200 * time.Millisecond, false},
		"no beat for long":        {[]time.Duration{0}, 300 * time.Millisecond, true},
		"a late beat just before": {[]time.Duration{0, 800 * time.Millisecond}, 801 * time.Millisecond, true},
		"a late beat long before": {[]time.Duration{0, 800 * time.Millisecond, 950 * time.Millisecond, 1100 * time.Millisecond, 1250 * time.Millisecond,
			1400 * time.Millisecond, 1550 * time.Millisecond, 1700 * time.Millisecond, 1850 * time.Millisecond}, 1900 * time.Millisecond, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			monitor := &heartbeat.Monitor{}
			w := NewDisconnectWatcher(monitor)
			defer w.Close()
			ctx, stop := w.Context(c, start.Add(time.Hour), start)
			defer stop()
			_ = caller.Close()
			time.Sleep(10 * time.Millisecond)
			for _, beat := range test.beats {
				monitor.Beat(start.Add(beat))
			}
			if got := CallerLeft(ctx, start.Add(test.at)); got != test.late || (ctx.Err() != nil) != test.late {
				t.Fatalf("got %t, context %v, want %t", got, ctx.Err(), test.late)
			}
		})
	}
}
