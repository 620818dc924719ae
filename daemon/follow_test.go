package daemon

import (
	"context"
	"testing"
	"time"
)

// TestRestartIsNotLost checks that restart ends the call in progress, a call
// begun before takeRestart, or a wait.
func TestRestartIsNotLost(t *testing.T) {
	tests := map[string]struct {
		run  func(c *storeCall, ctx context.Context, cancel context.CancelFunc)
		want bool // the call is cancelled
	}{
		"no restart": {func(c *storeCall, _ context.Context, cancel context.CancelFunc) { c.begin(cancel) }, false},
		"during the call": {func(c *storeCall, _ context.Context, cancel context.CancelFunc) {
			c.begin(cancel)
			c.restart()
		}, true},
		"just before the call": {func(c *storeCall, _ context.Context, cancel context.CancelFunc) {
			c.restart()
			c.begin(cancel)
		}, true},
		"taken before the call": {func(c *storeCall, _ context.Context, cancel context.CancelFunc) {
			c.restart()
			c.takeRestart()
			c.begin(cancel)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newStoreCall()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			test.run(c, ctx, cancel)
			if ended := ctx.Err() != nil; ended != test.want {
				t.Fatalf("call cancelled: got %t, want %t", ended, test.want)
			}
		})
	}
	t.Run("during a wait", func(t *testing.T) {
		c := newStoreCall()
		time.AfterFunc(10*time.Millisecond, c.restart)
		start := time.Now()
		c.wait(context.Background(), time.Minute)
		if time.Since(start) > 10*time.Second || !c.takeRestart() {
			t.Fatal("restart did not end the wait, or takeRestart did not report it")
		}
	})
}
