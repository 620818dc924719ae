package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pomelodoor.example/pomelodoor/standin"
)

// errUnmet is returned for an expectation that does not hold.
var errUnmet = errors.New("not as expected")

// expectPoll is how often an expectation with a time is looked at.
const expectPoll = 50 * time.Millisecond

// expectations are the words after expect. A word is looked at once, or until
// it holds when the last argument is within=DURATION.
//
//	expect promises              no promise broke so far
//	expect runs NAME N           the order of that key or name ran N times
//	expect switch ACTION on|off [ID]  at all running daemons, or at one
//	expect revision KEY N [ID]   of the document in force
//	expect ready ID
//	expect ended ID              with exit code 0
//	expect noNewWork ID DURATION no request began later than that after drain or end
//	expect answered N            percent of the last mixed load, at least
//	expect ran ID N              requests at a worker, at least
//	expect share ID N            percent of all requests since fail, at most
//	expect crashes N             of workers, at most
//	expect memory ID N           MB that the daemon ever held, at most (Linux)
var expectations = map[string]func(*world, []string) error{
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

func cmdExpect(w *world, _ *testscript.TestScript, args []string) error {
	check, ok := expectations[args[0]]
	if !ok {
		return fmt.Errorf("expect %s: %w", args[0], errUsage)
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
	end := time.Now().Add(min(within, endTime))
	for {
		err := check(w, rest)
		if err == nil || errors.Is(err, errUsage) || time.Now().After(end) {
			return err
		}
		time.Sleep(expectPoll)
	}
}

// arg returns argument i, or an error that says that it is missing.
func arg(args []string, i int) (string, error) {
	if i >= len(args) {
		return "", fmt.Errorf("argument %d is missing: %w", i+1, errUsage)
	}
	return args[i], nil
}

// numberArg returns argument i as a number.
func numberArg(args []string, i int) (int, error) {
	text, err := arg(args, i)
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errUsage, err)
	}
	return n, nil
}

func expectPromises(w *world, _ []string) error {
	broken := standin.Check(w.seen(), w.executions(), false)
	if len(broken) == 0 {
		return nil
	}
	return fmt.Errorf("%d promises broken, first %+v: %w", len(broken), broken[0], errUnmet)
}

func expectRuns(w *world, args []string) error {
	want, err := numberArg(args, 1)
	if err != nil {
		return err
	}
	w.mu.Lock()
	order, ok := w.orders[args[0]]
	w.mu.Unlock()
	if !ok {
		return fmt.Errorf("order %s: %w", args[0], errUsage)
	}
	got := 0
	for _, e := range w.executions() {
		if e.Ran() && e.Token == order.request.Token {
			got++
		}
	}
	if got != want {
		return fmt.Errorf("order %s ran %d times, want %d: %w", args[0], got, want, errUnmet)
	}
	return nil
}

func expectReady(w *world, args []string) error {
	m, err := w.memberArg(args)
	if err != nil {
		return err
	}
	if !m.daemon.Ready() {
		return fmt.Errorf("%s is not ready: %w", args[0], errUnmet)
	}
	return nil
}

func expectEnded(w *world, args []string) error {
	m, err := w.memberArg(args)
	if err != nil {
		return err
	}
	if !ended(m.daemon) {
		return fmt.Errorf("%s still runs: %w", args[0], errUnmet)
	}
	if m.daemon.Err() != nil {
		return fmt.Errorf("%s ended with %s: %w", args[0], m.daemon.Ending(), errUnmet)
	}
	return nil
}

func expectNoNewWork(w *world, args []string) error {
	text, err := arg(args, 1)
	if err != nil {
		return err
	}
	grace, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	m, err := w.member(args[0])
	if err != nil {
		return err
	}
	if late := standin.CheckLeaving(m.worker.Executions(), args[0], m.drained, grace); len(late) > 0 {
		return fmt.Errorf("%d requests, first %s: %w", len(late), late[0].Detail, errUnmet)
	}
	return nil
}

func expectAnswered(w *world, args []string) error {
	want, err := numberArg(args, 0)
	if err != nil {
		return err
	}
	w.mu.Lock()
	sent, answered := w.last.Sent, w.last.Answered
	w.mu.Unlock()
	if sent == 0 || answered*100 < want*sent {
		return fmt.Errorf("%d of %d answered, want %d percent: %w", answered, sent, want, errUnmet)
	}
	return nil
}

func expectRan(w *world, args []string) error {
	want, err := numberArg(args, 1)
	if err != nil {
		return err
	}
	m, err := w.member(args[0])
	if err != nil {
		return err
	}
	if got := len(m.worker.Executions()); got < want {
		return fmt.Errorf("%s ran %d requests, want %d: %w", args[0], got, want, errUnmet)
	}
	return nil
}

// expectShare looks at the requests that began since the worker started to
// fail.
func expectShare(w *world, args []string) error {
	want, err := numberArg(args, 1)
	if err != nil {
		return err
	}
	m, err := w.member(args[0])
	if err != nil {
		return err
	}
	own, all := 0, 0
	for _, e := range w.executions() {
		if e.StartUs < m.failing.UnixMicro() {
			continue
		}
		all++
		if e.Worker == args[0] {
			own++
		}
	}
	if all == 0 || own*100 > want*all {
		return fmt.Errorf("%s got %d of %d requests, want at most %d percent: %w", args[0], own, all, want, errUnmet)
	}
	return nil
}

func expectCrashes(w *world, args []string) error {
	want, err := numberArg(args, 0)
	if err != nil {
		return err
	}
	got := 0
	for _, m := range w.members {
		got += m.worker.Crashes()
	}
	if got > want {
		return fmt.Errorf("%d crashes, want at most %d: %w", got, want, errUnmet)
	}
	return nil
}
