package scenario

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/standin"
)

// options are the name=value arguments of a command.
type options map[string]string

// parseOptions reads name=value arguments.
func parseOptions(args []string) (options, error) {
	out := options{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			return nil, fmt.Errorf("argument %q is not name=value: %w", a, errUsage)
		}
		out[name] = value
	}
	return out, nil
}

// duration reads an option that is a duration.
func (o options) duration(name string, otherwise time.Duration) (time.Duration, error) {
	if o[name] == "" {
		return otherwise, nil
	}
	return time.ParseDuration(o[name])
}

// number reads an option that is a whole number.
func (o options) number(name string, otherwise int) (int, error) {
	if o[name] == "" {
		return otherwise, nil
	}
	return strconv.Atoi(o[name])
}

// list reads an option that is a list with commas.
func (o options) list(name string) []string {
	if o[name] == "" {
		return nil
	}
	return strings.Split(o[name], ",")
}

// call carries out one call command and writes a line for each sending.
func (w *world) call(kind string, o options, out io.Writer) error {
	if kind == "mixed" {
		return w.callMixed(o, out)
	}
	targets, err := w.targets(o.list("via"))
	if err != nil {
		return err
	}
	resends, err := o.number("resends", 0)
	if err != nil {
		return err
	}
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: orElse(o["caller"], "dispatch"), Service: orElse(o["service"], "faults"), Targets: targets,
	})
	if err != nil {
		return err
	}
	defer caller.Close()
	order, err := w.request(caller, targets[0], kind, o)
	if err != nil {
		return err
	}
	pause, err := o.duration("wait", 0)
	if err != nil {
		return err
	}
	for i := range resends + 1 {
		if i > 0 {
			time.Sleep(pause)
		}
		w.mu.Lock()
		send := order.sends
		order.sends++
		w.mu.Unlock()
		x := caller.Send(targets[i%len(targets)], order.request, send)
		w.note(x)
		if _, err := fmt.Fprintln(out, x.Verdict, orElse(string(x.Outcome), "-"), orElse(string(x.Reason), "-"), x.Status, x.Worker, x.Fault); err != nil {
			return err
		}
	}
	return nil
}

// request returns the request of a name or key, made on its first use. A key
// is asked for at the daemon called first, or made here with own=yes.
func (w *world) request(c *standin.Caller, target, kind string, o options) (*order, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := orElse(o["key"], o["name"])
	if known, ok := w.orders[name]; ok && name != "" {
		return known, nil
	}
	w.callers++
	r := standin.Request{Token: fmt.Sprintf("call-%d", w.callers), Path: "/" + kind}
	if err := shape(&r, kind, o); err != nil {
		return nil, err
	}
	if o["own"] != "" {
		r.Key = standin.NewKey(time.Now())
	} else if o["key"] != "" {
		if x, ok := c.AskKey(target, &r); !ok {
			return nil, fmt.Errorf("no key from %s: %+v: %w", target, x, errUnmet)
		}
	}
	made := &order{request: r}
	if name != "" {
		w.orders[name] = made
	}
	return made, nil
}

// shape fills in what the kind and the options ask for.
func shape(r *standin.Request, kind string, o options) (err error) {
	switch kind {
	case "lookup":
		r.Method, r.Answer = "GET", 4<<10
	case "order":
		r.Method, r.Body = "POST", 512
	case "upload":
		r.Method, r.Body = "PUT", 1<<20
	case "poison":
		r.Method, r.Body, r.Crash = "POST", 512, true
	default:
		return fmt.Errorf("kind %q: %w", kind, errUsage)
	}
	if r.Body, err = o.number("body", r.Body); err != nil {
		return err
	}
	if r.Work, err = o.duration("work", 0); err != nil {
		return err
	}
	if r.BodyTime, err = o.duration("bodyTime", 0); err != nil {
		return err
	}
	if r.GiveUp, err = o.duration("giveUp", 0); err != nil {
		return err
	}
	r.Deadline, err = o.duration("deadline", 2*time.Second)
	return err
}

// callMixed offers mixed load for a time.
func (w *world) callMixed(o options, out io.Writer) error {
	targets, err := w.targets(o.list("via"))
	if err != nil {
		return err
	}
	rate, err := o.number("rate", 100)
	if err != nil {
		return err
	}
	resends, err := o.number("resends", 2)
	if err != nil {
		return err
	}
	lasts, err := o.duration("for", 2*time.Second)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.callers++
	seed := uint64(w.callers)
	w.mu.Unlock()
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: orElse(o["caller"], "dispatch"), Service: orElse(o["service"], "faults"), Targets: targets,
		Rate: float64(rate), Duration: lasts, Seed: seed,
		Resend: standin.Resend{Max: resends, Wait: 50 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	defer caller.Close()
	result := caller.Run(context.Background())
	w.note(result.History...)
	w.mu.Lock()
	w.last = result
	w.mu.Unlock()
	_, err = fmt.Fprintf(out, "sent %d answered %d p50 %dus p99 %dus\n%s", result.Sent, result.Answered,
		result.Latency.ValueAtPercentile(50), result.Latency.ValueAtPercentile(99), refusals(result.History))
	return err
}

// refusals counts the exchanges without an answer of the upstream.
func refusals(history []standin.Exchange) string {
	count := map[string]int{}
	for _, x := range history {
		if x.Verdict != standin.Fine {
			count[fmt.Sprintf("%s: %s %s %s %d %s", x.Verdict, x.Method, x.Outcome, x.Reason, x.Status, x.Fault)]++
		}
	}
	var out strings.Builder
	for _, what := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&out, "%d %s\n", count[what], what)
	}
	return out.String()
}

// orElse returns s, or another text when it is empty.
func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
