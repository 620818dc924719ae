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

// status is the part of a daemon's /status response that the scripts check.
type status struct {
	Ready     bool `json:"ready"`
	Documents []struct {
		Key      string `json:"key"`
		Revision int    `json:"revision"`
	} `json:"documents"`
	// Configuration is a pointer so that a status without it is not mistaken for
	// one with all actions off.
	Configuration *struct {
		Allowed []string `json:"allowed"`
	} `json:"configuration"`
}

// fetchStatuses returns the status of the daemon named by argument i, or of each
// running daemon if that argument is missing.
func (b *testbed) fetchStatuses(args []string, i int) (map[string]status, error) {
	ids := b.memberIDs
	if i < len(args) {
		ids = args[i : i+1]
	}
	out := map[string]status{}
	for _, id := range ids {
		m, ok := b.members[id]
		if !ok || i >= len(args) && hasExited(m.daemon) {
			continue
		}
		code, body, err := fasthttp.GetTimeout(nil, "http://"+m.daemon.Config().Admin+"/status", time.Second)
		if err != nil {
			return nil, fmt.Errorf("get status of %s: %w: %w", id, errNotMet, err)
		}
		if code != fasthttp.StatusOK {
			return nil, fmt.Errorf("get status of %s: HTTP status %d: %w", id, code, errNotMet)
		}
		var s status
		if err := json.Unmarshal(body, &s); err != nil {
			return nil, fmt.Errorf("parse status of %s: %w", id, err)
		}
		if s.Configuration == nil {
			return nil, fmt.Errorf("status of %s has no configuration: %w", id, errUsage)
		}
		out[id] = s
	}
	return out, nil
}

// hasExited reports whether a daemon's process has exited.
func hasExited(d *standin.Daemon) bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

func expectSwitch(b *testbed, args []string) error {
	want, err := requiredArg(args, 1)
	if err != nil {
		return err
	}
	statuses, err := b.fetchStatuses(args, 2)
	if err != nil {
		return err
	}
	for id, s := range statuses {
		allowed := s.Configuration.Allowed
		if slices.Contains(allowed, args[0]) != (want == "on") {
			return fmt.Errorf("%s allows %v, want %s %s: %w", id, allowed, args[0], want, errNotMet)
		}
	}
	return nil
}

func expectRevision(b *testbed, args []string) error {
	want, err := intArg(args, 1)
	if err != nil {
		return err
	}
	statuses, err := b.fetchStatuses(args, 2)
	if err != nil {
		return err
	}
	for id, s := range statuses {
		got := 0
		for _, d := range s.Documents {
			if d.Key == args[0] {
				got = d.Revision
			}
		}
		if got != want {
			return fmt.Errorf("%s has %s at revision %d, want %d: %w", id, args[0], got, want, errNotMet)
		}
	}
	return nil
}

// expectMemory checks the peak resident set size of a daemon's process (VmHWM in
// /proc).
func expectMemory(b *testbed, args []string) error {
	want, err := intArg(args, 1)
	if err != nil {
		return err
	}
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.daemon.Pid()))
	if err != nil {
		return fmt.Errorf("read memory of %s: %w", args[0], err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	var kB int
	if _, err := fmt.Sscan(after, &kB); err != nil {
		return fmt.Errorf("parse memory of %s: %w", args[0], err)
	}
	if kB > want<<10 {
		return fmt.Errorf("%s had a peak of %d MiB, want at most %d: %w", args[0], kB>>10, want, errNotMet)
	}
	return nil
}
