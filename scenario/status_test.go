package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/standin"
)

// status is what a daemon tells of itself.
type status struct {
	Ready     bool `json:"ready"`
	Documents []struct {
		Key      string `json:"key"`
		Revision int    `json:"revision"`
	} `json:"documents"`
	// Configuration is a pointer, since a status without it must not read as
	// one in which all actions are off.
	Configuration *struct {
		Allowed []string `json:"allowed"`
	} `json:"configuration"`
}

// statuses returns what the daemon named, or each running one, tells.
func (w *world) statuses(args []string, i int) (map[string]status, error) {
	ids := w.order
	if i < len(args) {
		ids = args[i : i+1]
	}
	out := map[string]status{}
	for _, id := range ids {
		m, ok := w.members[id]
		if !ok || i >= len(args) && ended(m.daemon) {
			continue
		}
		code, body, err := fasthttp.GetTimeout(nil, "http://"+m.daemon.Config().Admin+"/status", time.Second)
		if err != nil {
			return nil, fmt.Errorf("status of %s: %w: %w", id, errUnmet, err)
		}
		if code != fasthttp.StatusOK {
			return nil, fmt.Errorf("status of %s: %d: %w", id, code, errUnmet)
		}
		var s status
		if err := json.Unmarshal(body, &s); err != nil {
			return nil, fmt.Errorf("status of %s: %w", id, err)
		}
		if s.Configuration == nil {
			return nil, fmt.Errorf("status of %s tells no configuration: %w", id, errUsage)
		}
		out[id] = s
	}
	return out, nil
}

// ended reports whether a daemon's process is gone.
func ended(d *standin.Daemon) bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

func expectSwitch(w *world, args []string) error {
	want, err := arg(args, 1)
	if err != nil {
		return err
	}
	all, err := w.statuses(args, 2)
	if err != nil {
		return err
	}
	for id, s := range all {
		allowed := s.Configuration.Allowed
		if slices.Contains(allowed, args[0]) != (want == "on") {
			return fmt.Errorf("at %s allowed are %v, want %s %s: %w", id, allowed, args[0], want, errUnmet)
		}
	}
	return nil
}

func expectRevision(w *world, args []string) error {
	want, err := numberArg(args, 1)
	if err != nil {
		return err
	}
	all, err := w.statuses(args, 2)
	if err != nil {
		return err
	}
	for id, s := range all {
		got := 0
		for _, d := range s.Documents {
			if d.Key == args[0] {
				got = d.Revision
			}
		}
		if got != want {
			return fmt.Errorf("at %s %s has revision %d, want %d: %w", id, args[0], got, want, errUnmet)
		}
	}
	return nil
}

// expectMemory looks at the largest resident set of a daemon's process, which
// the system keeps count of.
func expectMemory(w *world, args []string) error {
	want, err := numberArg(args, 1)
	if err != nil {
		return err
	}
	m, err := w.member(args[0])
	if err != nil {
		return err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.daemon.Pid()))
	if err != nil {
		return fmt.Errorf("memory of %s: %w", args[0], err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	var kB int
	if _, err := fmt.Sscan(after, &kB); err != nil {
		return fmt.Errorf("memory of %s: %w", args[0], err)
	}
	if kB > want<<10 {
		return fmt.Errorf("%s held %d MB, want at most %d: %w", args[0], kB>>10, want, errUnmet)
	}
	return nil
}
