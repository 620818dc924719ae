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

// options holds the name=value arguments of a command.
type options map[string]string

// parseOptions parses name=value arguments.
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

// duration returns an option as a duration, or fallback if it is not set.
func (o options) duration(name string, fallback time.Duration) (time.Duration, error) {
	if o[name] == "" {
		return fallback, nil
	}
	return time.ParseDuration(o[name])
}

// integer returns an option as an integer, or fallback if it is not set.
func (o options) integer(name string, fallback int) (int, error) {
	if o[name] == "" {
		return fallback, nil
	}
	return strconv.Atoi(o[name])
}

// list returns the values of a comma-separated option.
func (o options) list(name string) []string {
	if o[name] == "" {
		return nil
	}
	return strings.Split(o[name], ",")
}

// call runs a call command and writes a line for each send, or a summary for
// mixed load.
func (b *testbed) call(kind string, o options, out io.Writer) error {
	if kind == "mixed" {
		return b.callMixed(o, out)
	}
	targets, err := b.targets(o.list("via"))
	if err != nil {
		return err
	}
	resends, err := o.integer("resends", 0)
	if err != nil {
		return err
	}
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: valueOr(o["caller"], "dispatch"), Service: valueOr(o["service"], "faults"), Targets: targets,
	})
	if err != nil {
		return err
	}
	defer caller.Close()
	req, err := b.requestFor(caller, targets[0], kind, o)
	if err != nil {
		return err
	}
	resendDelay, err := o.duration("wait", 0)
	if err != nil {
		return err
	}
	for i := range resends + 1 {
		if i > 0 {
			time.Sleep(resendDelay)
		}
		b.mu.Lock()
		send := req.sends
		req.sends++
		b.mu.Unlock()
		x := caller.Send(targets[i%len(targets)], req.request, send)
		b.recordExchanges(x)
		if _, err := fmt.Fprintln(out, x.Verdict, valueOr(string(x.Outcome), "-"), valueOr(string(x.Reason), "-"), x.Status, x.Worker, x.Fault); err != nil {
			return err
		}
	}
	return nil
}

// requestFor returns the request with the name or key given in the options, and
// creates it on first use. The idempotency key comes from target, or is generated
// here if own is set.
func (b *testbed) requestFor(c *standin.Caller, target, kind string, o options) (*scriptRequest, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := valueOr(o["key"], o["name"])
	if existing, ok := b.requests[name]; ok && name != "" {
		return existing, nil
	}
	b.callCount++
	r := standin.Request{Token: fmt.Sprintf("call-%d", b.callCount), Path: "/" + kind}
	if err := applyOptions(&r, kind, o); err != nil {
		return nil, err
	}
	if o["own"] != "" {
		r.Key = standin.NewKey(time.Now())
	} else if o["key"] != "" {
		if x, ok := c.FetchKey(target, &r); !ok {
			return nil, fmt.Errorf("request key from %s: %+v: %w", target, x, errNotMet)
		}
	}
	created := &scriptRequest{request: r}
	if name != "" {
		b.requests[name] = created
	}
	return created, nil
}

// applyOptions sets the fields of a request from its kind and the options.
func applyOptions(r *standin.Request, kind string, o options) (err error) {
	switch kind {
	case "lookup":
		r.Method, r.ResponseBytes = "GET", 4<<10
	case "order":
		r.Method, r.BodyBytes = "POST", 512
	case "upload":
		r.Method, r.BodyBytes = "PUT", 1<<20
	case "poison":
		r.Method, r.BodyBytes, r.Crash = "POST", 512, true
	default:
		return fmt.Errorf("unknown request kind %q: %w", kind, errUsage)
	}
	if r.BodyBytes, err = o.integer("body", r.BodyBytes); err != nil {
		return err
	}
	if r.ServiceTime, err = o.duration("work", 0); err != nil {
		return err
	}
	if r.BodyDuration, err = o.duration("bodyTime", 0); err != nil {
		return err
	}
	if r.AbandonAfter, err = o.duration("giveUp", 0); err != nil {
		return err
	}
	r.Deadline, err = o.duration("deadline", 2*time.Second)
	return err
}

// callMixed generates mixed load and writes a summary of the result.
func (b *testbed) callMixed(o options, out io.Writer) error {
	targets, err := b.targets(o.list("via"))
	if err != nil {
		return err
	}
	rate, err := o.integer("rate", 100)
	if err != nil {
		return err
	}
	resends, err := o.integer("resends", 2)
	if err != nil {
		return err
	}
	duration, err := o.duration("for", 2*time.Second)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.callCount++
	seed := uint64(b.callCount)
	b.mu.Unlock()
	caller, err := standin.NewCaller(standin.CallerConfig{
		Name: valueOr(o["caller"], "dispatch"), Service: valueOr(o["service"], "faults"), Targets: targets,
		RatePerSecond: float64(rate), Duration: duration, Seed: seed,
		Resend: standin.ResendPolicy{MaxResends: resends, Delay: 50 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	defer caller.Close()
	result := caller.Run(context.Background())
	b.recordExchanges(result.History...)
	b.mu.Lock()
	b.lastMixed = result
	b.mu.Unlock()
	_, err = fmt.Fprintf(out, "sent %d answered %d p50 %dus p99 %dus\n%s", result.Sent, result.Succeeded,
		result.Latency.ValueAtPercentile(50), result.Latency.ValueAtPercentile(99), countFailures(result.History))
	return err
}

// countFailures counts the exchanges without a valid upstream response by verdict
// and details, one line each.
func countFailures(history []standin.Exchange) string {
	count := map[string]int{}
	for _, x := range history {
		if x.Verdict != standin.VerdictOK {
			count[fmt.Sprintf("%s: %s %s %s %d %s", x.Verdict, x.Method, x.Outcome, x.Reason, x.Status, x.Fault)]++
		}
	}
	var out strings.Builder
	for _, description := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&out, "%d %s\n", count[description], description)
	}
	return out.String()
}

// valueOr returns s, or fallback if s is empty.
func valueOr(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}
