package standin

import (
	"os/exec"
	"testing"
	"time"
)

// forkers start processes all the time while a port changes hands.
const forkers = 4

// TestAddressIsFreeAfterClose closes a listener and listens on its address at
// once, while other goroutines start processes: a child that has not yet become
// its program must not hold the port.
func TestAddressIsFreeAfterClose(t *testing.T) {
	ends := map[string]func(*Listener){
		"closed": func(l *Listener) { _ = l.Close() },
		"killed": (*Listener).Kill,
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			defer startProcesses(t)()
			l, err := Listen("", 0)
			if err != nil {
				t.Fatal(err)
			}
			addr := l.Addr().String()
			for stop := time.Now().Add(time.Second); time.Now().Before(stop); {
				end(l)
				if l, err = Listen(addr, 0); err != nil {
					t.Fatalf("listen again: %v", err)
				}
			}
			l.Kill()
		})
	}
}

// startProcesses starts short processes until the returned function is called.
func startProcesses(t *testing.T) func() {
	t.Helper()
	stop := make(chan struct{})
	ended := make(chan error, forkers)
	for range forkers {
		go func() {
			for {
				select {
				case <-stop:
					ended <- nil
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					ended <- err
					return
				}
			}
		}()
	}
	return func() {
		close(stop)
		for range forkers {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}
}
