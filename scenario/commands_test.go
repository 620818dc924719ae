package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pomelodoor.example/pomelodoor/standin"
)

// commands maps the names of the script commands to their implementations.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"start":    newCommand(2, 3, cmdStart),
	"publish":  newCommand(2, 2, cmdPublish),
	"platform": newCommand(2, 2, cmdPlatform),
	"call":     newCommand(1, 20, cmdCall),
	"join":     newCommand(1, 1, cmdJoin),
	"sleep":    newCommand(1, 1, cmdSleep),
	"freeze":   newProcessCommand((*standin.Process).Pause),
	"thaw":     newProcessCommand((*standin.Process).Resume),
	"abort":    newCommand(1, 1, cmdAbort),
	"end":      newCommand(1, 1, cmdEnd),
	"restart":  newCommand(1, 1, func(b *testbed, _ *testscript.TestScript, a []string) error { return b.restartDaemon(a[0]) }),
	"replace":  newCommand(2, 2, func(b *testbed, _ *testscript.TestScript, a []string) error { return b.replaceInstance(a[0], a[1]) }),
	"drain":    newCommand(1, 1, cmdDrain),
	"slow":     newCommand(2, 2, cmdSlow),
	"fail":     newCommand(2, 2, cmdFail),
	"cut":      newCommand(2, 2, cmdCut),
	"expect":   newCommand(1, 9, cmdExpect),
}

// newCommand returns a command that checks its number of arguments and calls f.
func newCommand(minArgs, maxArgs int, f func(*testbed, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs || len(args) > maxArgs {
			ts.Fatalf("%v: got %d arguments, negated: %v", errUsage, len(args), neg)
		}
		b := ts.Value(testbedKey{}).(*testbed)
		if err := f(b, ts, args); err != nil {
			ts.Fatalf("%v\n%s", err, b.daemonLogs())
		}
	}
}

// newProcessCommand returns a command that calls f on the process of a daemon.
func newProcessCommand(f func(*standin.Process) error) func(*testscript.TestScript, bool, []string) {
	return newCommand(1, 1, func(b *testbed, _ *testscript.TestScript, args []string) error {
		m, err := b.findMember(args[0])
		if err != nil {
			return err
		}
		return f(m.daemon.Process)
	})
}

func cmdStart(b *testbed, _ *testscript.TestScript, args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil || n < 1 || n > 8 {
		return fmt.Errorf("start: number of instances %q is not in 1 to 8: %w", args[1], errUsage)
	}
	links := len(args) > 2
	if links && args[2] != "links" {
		return fmt.Errorf("start: unknown option %q: %w", args[2], errUsage)
	}
	return b.startService(args[0], n, links)
}

func cmdPublish(b *testbed, ts *testscript.TestScript, args []string) error {
	return b.platform.Publish(args[0], []byte(ts.ReadFile(args[1])))
}

func cmdPlatform(b *testbed, _ *testscript.TestScript, args []string) error {
	on := args[1] == "on"
	switch args[0] {
	case "stale":
		b.platform.SetStale(on)
	case "mark":
		b.platform.SaveState()
	case "behind":
		b.platform.ServeSavedState(on)
	case "outage", "hang":
		fault := map[string]standin.Outage{"outage": standin.OutageRefuse, "hang": standin.OutageHang}[args[0]]
		if !on {
			fault = standin.OutageOff
		}
		b.platform.SetOutage(fault)
	default:
		return fmt.Errorf("unknown platform fault %q: %w", args[0], errUsage)
	}
	return nil
}

// cmdCall runs a call in the foreground, or in the background if bg is set.
func cmdCall(b *testbed, ts *testscript.TestScript, args []string) error {
	o, err := parseOptions(args[1:])
	if err != nil {
		return err
	}
	name := o["bg"]
	if name == "" {
		return b.call(args[0], o, ts.Stdout())
	}
	done := make(chan struct{})
	b.background[name] = done
	go func() {
		defer close(done)
		var out strings.Builder
		err := b.call(args[0], o, &out)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.backgroundOutput[name] = out.String()
		if err != nil {
			b.backgroundErrors = append(b.backgroundErrors, err)
		}
	}()
	return nil
}

// cmdJoin waits for a background call and prints its output.
func cmdJoin(b *testbed, ts *testscript.TestScript, args []string) error {
	done, ok := b.background[args[0]]
	if !ok {
		return fmt.Errorf("join %s: no such background call: %w", args[0], errUsage)
	}
	select {
	case <-done:
	case <-time.After(stepTimeout):
		return fmt.Errorf("join %s: call still running after %v", args[0], stepTimeout)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.backgroundErrors) > 0 {
		return b.backgroundErrors[0]
	}
	_, err := fmt.Fprint(ts.Stdout(), b.backgroundOutput[args[0]])
	return err
}

func cmdSleep(_ *testbed, _ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil || d > stepTimeout {
		return fmt.Errorf("sleep %s: invalid or too long: %w", args[0], errUsage)
	}
	time.Sleep(d)
	return nil
}

func cmdAbort(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	m.daemon.Kill()
	return nil
}

// cmdEnd sends SIGTERM to a daemon without waiting for its exit; expect ended
// waits.
func cmdEnd(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	m.leavingSince = time.Now()
	return m.daemon.Signal(syscall.SIGTERM)
}

func cmdDrain(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	m.worker.SetDrain(true)
	m.leavingSince = time.Now()
	return nil
}

func cmdSlow(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	factor, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return fmt.Errorf("slow: %w", err)
	}
	m.worker.SetServiceTimeFactor(factor)
	return nil
}

// cmdFail makes a worker answer each request with status 500 at once, or stops
// that.
func cmdFail(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	m.worker.SetFailFast(args[1] == "on")
	m.failingSince = time.Now()
	return nil
}

// cmdCut cuts the link between a daemon and its worker, or restores it.
func cmdCut(b *testbed, _ *testscript.TestScript, args []string) error {
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	fault := standin.LinkFault(args[1])
	switch fault {
	case standin.LinkFaultNone, standin.LinkFaultBlackHole, standin.LinkFaultReset:
	default:
		return fmt.Errorf("unknown kind of cut %q: %w", fault, errUsage)
	}
	if m.link == nil {
		return fmt.Errorf("cut %s: service was started without links: %w", args[0], errUsage)
	}
	m.link.Set(standin.Link{Cut: fault})
	return nil
}

// daemonLogs returns the last lines of each daemon's log.
func (b *testbed) daemonLogs() string {
	var out strings.Builder
	for _, id := range b.memberIDs {
		m, ok := b.members[id]
		if !ok || m.daemon == nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(m.daemon.Log()), "\n")
		if len(lines) > 12 {
			lines = lines[len(lines)-12:]
		}
		fmt.Fprintf(&out, "-- log of %s --\n%s\n", id, strings.Join(lines, "\n"))
	}
	return out.String()
}
