package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pomelodoor.example/pomelodoor/standin"
)

// errNotMet is returned for an expectation that does not hold.
var errNotMet = errors.New("expectation not met")

// expectPollInterval is the time between two checks of an expectation that has a
// time limit.
const expectPollInterval = 50 * time.Millisecond

// expectations maps the first argument of expect to its check. The check runs
// once, or until it passes if the last argument is within=DURATION.
//
//	expect promises              no promise has been broken so far
//	expect runs NAME N           the request with that key or name ran N times
//	expect switch ACTION on|off [ID]  state of an action at one or all running daemons
//	expect revision KEY N [ID]   revision of a document in force
//	expect ready ID              the daemon is ready
//	expect ended ID              the daemon exited with code 0
//	expect noNewWork ID DURATION no request arrived later than that after drain or end
//	expect answered N            min percent of the last mixed load that was answered
//	expect ran ID N              min number of requests at a worker
//	expect share ID N            max percent of all requests since fail at a worker
//	expect crashes N             max number of worker crashes
//	expect memory ID N           max peak resident memory of a daemon in MiB (Linux)
var expectations = map[string]func(*testbed, []string) error{
	"promises":  expectPromises,
	"runs":      expectRuns,
	"switch":    expectSwitch,
	"revision":  expectRevision,
	"ready":     expectReady,
	"ended":     expectEnded,
	"noNewWork": expectNoNewWork,
	"answered":  expectAnswered,
	"ran":       expectRan,
	"share":     expectShare,
	"crashes":   expectCrashes,
	"memory":    expectMemory,
}

func cmdExpect(b *testbed, _ *testscript.TestScript, args []string) error {
	check, ok := expectations[args[0]]
	if !ok {
		return fmt.Errorf("unknown expectation %s: %w", args[0], errUsage)
	}
	rest := args[1:]
	var within time.Duration
	if len(rest) > 0 {
		if o, err := parseOptions(rest[len(rest)-1:]); err == nil {
			if within, err = o.duration("within", 0); err != nil {
				return err
			}
			rest = rest[:len(rest)-1]
		}
	}
	deadline := time.Now().Add(min(within, stepTimeout))
	for {
		err := check(b, rest)
		if err == nil || errors.Is(err, errUsage) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(expectPollInterval)
	}
}

// requiredArg returns argument i, or an error if it is missing.
func requiredArg(args []string, i int) (string, error) {
	if i >= len(args) {
		return "", fmt.Errorf("argument %d is missing: %w", i+1, errUsage)
	}
	return args[i], nil
}

// intArg returns argument i as an integer.
func intArg(args []string, i int) (int, error) {
	text, err := requiredArg(args, i)
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errUsage, err)
	}
	return n, nil
}

func expectPromises(b *testbed, _ []string) error {
	violations := standin.Check(b.exchanges(), b.executions(), false)
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d promise violations, first %+v: %w", len(violations), violations[0], errNotMet)
}

func expectRuns(b *testbed, args []string) error {
	want, err := intArg(args, 1)
	if err != nil {
		return err
	}
	b.mu.Lock()
	req, ok := b.requests[args[0]]
	b.mu.Unlock()
	if !ok {
		return fmt.Errorf("no request with key or name %s: %w", args[0], errUsage)
	}
	got := 0
	for _, e := range b.executions() {
		if e.Ran() && e.Token == req.request.Token {
			got++
		}
	}
	if got != want {
		return fmt.Errorf("request %s ran %d times, want %d: %w", args[0], got, want, errNotMet)
	}
	return nil
}

func expectReady(b *testbed, args []string) error {
	m, err := b.memberFromArg(args)
	if err != nil {
		return err
	}
	if !m.daemon.Ready() {
		return fmt.Errorf("daemon %s is not ready: %w", args[0], errNotMet)
	}
	return nil
}

func expectEnded(b *testbed, args []string) error {
	m, err := b.memberFromArg(args)
	if err != nil {
		return err
	}
	if !hasExited(m.daemon) {
		return fmt.Errorf("daemon %s still runs: %w", args[0], errNotMet)
	}
	if m.daemon.Err() != nil {
		return fmt.Errorf("daemon %s exited with %s, want exit status 0: %w", args[0], m.daemon.ExitStatus(), errNotMet)
	}
	return nil
}

func expectNoNewWork(b *testbed, args []string) error {
	text, err := requiredArg(args, 1)
	if err != nil {
		return err
	}
	grace, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	if violations := standin.CheckNoNewWork(m.worker.Executions(), args[0], m.leavingSince, grace); len(violations) > 0 {
		return fmt.Errorf("%d requests after the grace period, first %s: %w", len(violations), violations[0].Detail, errNotMet)
	}
	return nil
}

func expectAnswered(b *testbed, args []string) error {
	want, err := intArg(args, 0)
	if err != nil {
		return err
	}
	b.mu.Lock()
	sent, answered := b.lastMixed.Sent, b.lastMixed.Succeeded
	b.mu.Unlock()
	if sent == 0 || answered*100 < want*sent {
		return fmt.Errorf("%d of %d requests answered, want at least %d percent: %w", answered, sent, want, errNotMet)
	}
	return nil
}

func expectRan(b *testbed, args []string) error {
	want, err := intArg(args, 1)
	if err != nil {
		return err
	}
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	if got := len(m.worker.Executions()); got < want {
		return fmt.Errorf("worker %s ran %d requests, want at least %d: %w", args[0], got, want, errNotMet)
	}
	return nil
}

// expectShare checks a worker's share of the requests that started since the last
// fail command for it.
func expectShare(b *testbed, args []string) error {
	want, err := intArg(args, 1)
	if err != nil {
		return err
	}
	m, err := b.findMember(args[0])
	if err != nil {
		return err
	}
	atWorker, total := 0, 0
	for _, e := range b.executions() {
		if e.StartUs < m.failingSince.UnixMicro() {
			continue
		}
		total++
		if e.Worker == args[0] {
			atWorker++
		}
	}
	if total == 0 || atWorker*100 > want*total {
		return fmt.Errorf("worker %s got %d of %d requests, want at most %d percent: %w", args[0], atWorker, total, want, errNotMet)
	}
	return nil
}

func expectCrashes(b *testbed, args []string) error {
	want, err := intArg(args, 0)
	if err != nil {
		return err
	}
	got := 0
	for _, m := range b.members {
		got += m.worker.Crashes()
	}
	if got > want {
		return fmt.Errorf("%d worker crashes, want at most %d: %w", got, want, errNotMet)
	}
	return nil
}
