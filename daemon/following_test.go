package daemon

import (
	"context"
	"testing"
	"time"
)

// TestRestartIsNotLost: whenever restart comes, the call under way then or begun
// before it was taken in ends, and so does a wait.
func TestRestartIsNotLost(t *testing.T) {
	tests := map[string]struct {
		run  func(f *following, ctx context.Context, cancel context.CancelFunc)
		want bool // the call has ended
	}{
		"no restart": {func(f *following, _ context.Context, cancel context.CancelFunc) { f.begin(cancel) }, false},
		"during the call": {func(f *following, _ context.Context, cancel context.CancelFunc) {
			f.begin(cancel)
			f.restart()
		}, true},
		"just before the call": {func(f *following, _ context.Context, cancel context.CancelFunc) {
			f.restart()
			f.begin(cancel)
		}, true},
		"taken in before the call": {func(f *following, _ context.Context, cancel context.CancelFunc) {
			f.restart()
			f.takeAsked()
			f.begin(cancel)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFollowing()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			test.run(f, ctx, cancel)
			if ended := ctx.Err() != nil; ended != test.want {
				t.Fatalf("the call has ended: %t, want %t", ended, test.want)
			}
		})
	}
	t.Run("during a wait", func(t *testing.T) {
		f := newFollowing()
		time.AfterFunc(10*time.Millisecond, f.restart)
		start := time.Now()
		f.wait(context.Background(), time.Minute)
		if time.Since(start) > 10*time.Second || !f.takeAsked() {
			t.Fatal("the wait goes on")
		}
	})
}
