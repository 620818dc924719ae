package node_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/balance"
	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/measure"
	"pomelodoor.example/pomelodoor/membership"
	"pomelodoor.example/pomelodoor/node"
)

// solo is one node that reads the store itself, with its time.
type solo struct {
	*node.Node
	t   *testing.T
	now time.Time
}

func directNode(t *testing.T, assumed ...config.Action) *solo {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	random := rand.New(rand.NewPCG(3, 4))
	self := membership.Instance{ID: "self:2", Service: "faults", AvailabilityZone: "a", Peer: "self:2", Control: "self:3"}
	return &solo{t: t, now: now, Node: node.New(node.Config{
		Self: self, Incarnation: 9, Started: now, Rand: random.Uint64, Direct: true, Assumed: assumed,
		Retry: node.SharedBudget{Share: 0.2, Extra: 60, Window: 10 * time.Second}, ProbesPerSecond: 60,
	})}
}

func (l *solo) do(m node.Message) []node.Command { return l.Update(m, l.now) }

func (l *solo) after(d time.Duration) { l.now = l.now.Add(d) }

// routes puts a routes document in force whose parts are given as JSON.
func (l *solo) routes(revision int, parts string) []node.Command {
	out := l.do(node.DocumentRead{Key: "routes", Body: fmt.Appendf(nil, `{"kind":"routes","revision":%d,
	 "services":[{"service":"faults"},{"service":"orders"}],
	 "routes":[{"name":"look","host":"h","prefix":"/look/","idempotent":true,"rank":2,"timeoutMs":1000,"targetMs":400,"attempts":2,"parts":%s},
	  {"name":"order","host":"h","prefix":"/order/","timeoutMs":1000,"targetMs":400,"attempts":2,"parts":%s}]}`, revision, parts, parts)})
	return append(out, l.do(node.DocumentsComplete{})...)
}

func (l *solo) list(ids ...string) []node.Command {
	var list []membership.Listing
	for _, id := range ids {
		e := membership.Listing{Incarnation: 5, State: membership.Live}
		e.ID, e.Upstream, e.Service, e.AvailabilityZone, e.Slots = id, "i-"+id, "faults", "a", 10
		e.Peer, e.Control = id, id+"c"
		list = append(list, e)
	}
	return l.do(node.InstancesListed{List: list, Revision: 1})
}

func (l *solo) request(id, path string) []node.Command {
	return l.do(node.CallerRequest{Request: call.Request{
		ID: id, Token: "t-" + id, Host: "h", Path: path, Method: "POST", Caller: "faults", Replayable: true,
		Deadline: l.now.Add(900 * time.Millisecond),
	}})
}

// find returns the first command of the same type as like, or nil.
func find(commands []node.Command, like node.Command) node.Command {
	for _, c := range commands {
		if reflect.TypeOf(c) == reflect.TypeOf(like) {
			return c
		}
	}
	return nil
}

const onlyFaults = `[{"service":"faults"}]`

func TestDirectAnswersWithoutAnUpstream(t *testing.T) {
	tests := map[string]struct {
		know   func(*solo)
		path   string
		reason call.Reason
		status int
	}{
		"nothing is known": {func(*solo) {}, "/look/1", call.NoConfiguration, 503},
		"only the list":    {func(l *solo) { l.list("b:2") }, "/look/1", call.NoConfiguration, 503},
		"only switches": {func(l *solo) {
			l.do(node.DocumentRead{Key: "switches", Body: []byte(`{"kind":"switches","revision":1}`)})
			l.do(node.DocumentsComplete{})
		}, "/look/1", call.NoConfiguration, 503},
		"only the routes": {func(l *solo) { l.routes(1, onlyFaults) }, "/look/1", call.NoUpstream, 503},
		"no such route": {func(l *solo) {
			l.routes(1, onlyFaults)
			l.list("b:2")
		}, "/none/", call.UnknownService, 404},
		"an unreadable configuration": {func(l *solo) {
			l.do(node.DocumentRead{Key: "routes", Err: errors.New("cut short")})
			l.list("b:2")
		}, "/look/1", call.NoConfiguration, 503},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := directNode(t, config.Retry)
			test.know(l)
			a, ok := find(l.request("1", test.path), node.Answer{}).(node.Answer)
			if !ok || a.Outcome != call.NotRun || a.Reason != test.reason || call.Status(a.Outcome, a.Reason) != test.status || a.ComeBack <= 0 {
				t.Fatalf("got %+v", a)
			}
		})
	}
}

func TestRouteFillsInTheRequest(t *testing.T) {
	l := directNode(t, config.Retry)
	l.routes(1, onlyFaults)
	l.list("b:2")
	tests := map[string]struct {
		path   string
		repeat call.Repeat
		rank   int
	}{
		"safe":   {"/look/1", call.Safe, 2},
		"unsafe": {"/order/1", call.Unsafe, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, ok := find(l.request(name, test.path), node.Forward{}).(node.Forward)
			r := f.Request
			if !ok || r.Service != "faults" || r.Repeat != test.repeat || r.Priority.Rank() != test.rank ||
				!r.Target.Equal(l.now.Add(400*time.Millisecond)) || !r.Deadline.Equal(l.now.Add(900*time.Millisecond)) ||
				r.Upstream != "i-b:2" || f.Incarnation != 0 {
				t.Fatalf("got %+v", f)
			}
		})
	}
}

// TestPartsKeepTheirShares: each daemon by itself keeps close to the weights.
func TestPartsKeepTheirShares(t *testing.T) {
	l := directNode(t)
	l.routes(1, `[{"service":"faults","weight":90},{"service":"orders","weight":10}]`)
	l.list("b:2")
	for _, n := range []int{20, 100, 500} {
		orders := 0
		for i := range n {
			out := l.request(fmt.Sprintf("%d-%d", n, i), "/look/1")
			if f, ok := find(out, node.Forward{}).(node.Forward); !ok || f.Request.Service == "orders" {
				orders++
			}
		}
		if share := float64(orders) / float64(n); share < 0.05 || share > 0.15 {
			t.Errorf("%d of %d requests went to the part of a tenth", orders, n)
		}
	}
}

func TestAgain(t *testing.T) {
	refused := func(reason call.Reason) node.Attempt {
		return node.Attempt{Outcome: call.NotRun, Reason: reason, Answered: true}
	}
	lost := node.Attempt{Outcome: call.Unknown, Reason: call.ConnectionLost}
	failed := node.Attempt{Outcome: call.Run, Status: 500, Answered: true}
	tests := map[string]struct {
		path    string
		off     bool
		results []node.Attempt
		// sends is how many attempts are made in all.
		sends int
		// answer is what the caller is told in the end; "" is an upstream's.
		answer call.Outcome
	}{
		"turned away twice":           {path: "/order/1", results: []node.Attempt{refused(call.Slow), refused(call.Overloaded)}, sends: 3},
		"turned away by all":          {path: "/order/1", results: []node.Attempt{refused(call.Overloaded), refused(call.Overloaded), refused(call.Overloaded), refused(call.Overloaded)}, sends: 4, answer: call.NotRun},
		"an order that was lost":      {path: "/order/1", results: []node.Attempt{lost}, sends: 1, answer: call.Unknown},
		"an order that failed":        {path: "/order/1", results: []node.Attempt{failed}, sends: 1},
		"an order shed":               {path: "/order/1", results: []node.Attempt{refused(call.UpstreamShed)}, sends: 2},
		"a lookup that was lost":      {path: "/look/1", results: []node.Attempt{lost}, sends: 2},
		"a lookup lost twice":         {path: "/look/1", results: []node.Attempt{lost, lost}, sends: 2, answer: call.Unknown},
		"lost after it was turned":    {path: "/order/1", results: []node.Attempt{refused(call.Slow), lost}, sends: 2, answer: call.Unknown},
		"retries are switched off":    {path: "/look/1", off: true, results: []node.Attempt{lost}, sends: 1, answer: call.Unknown},
		"turned away, switched off":   {path: "/look/1", off: true, results: []node.Attempt{refused(call.Slow)}, sends: 1, answer: call.NotRun},
		"an upstream that was a life": {path: "/order/1", results: []node.Attempt{refused(call.UpstreamReplaced)}, sends: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := directNode(t, config.Retry, config.LoadAware, config.SpillOver)
			if test.off {
				l = directNode(t)
			}
			l.routes(1, onlyFaults)
			l.list("b:2", "c:2", "d:2", "e:2", "f:2")
			sends, told := 0, call.Outcome("")
			out := l.request("1", test.path)
			for {
				f, ok := find(out, node.Forward{}).(node.Forward)
				if !ok {
					break
				}
				sends++
				if sends > len(test.results) {
					break
				}
				l.after(5 * time.Millisecond)
				out = l.do(node.AttemptEnded{ID: "1", Number: f.Number, Result: test.results[sends-1]})
			}
			if a, ok := find(out, node.Answer{}).(node.Answer); ok {
				told = a.Outcome
			}
			if sends != test.sends || told != test.answer {
				t.Fatalf("%d attempts, told %q", sends, told)
			}
		})
	}
}

// TestOwnUpstream follows the gate beside the daemon's own upstream.
func TestOwnUpstream(t *testing.T) {
	l := directNode(t, config.Probe, config.LoadAware, config.Shed)
	l.routes(1, onlyFaults)
	peer := func(id string) []node.Command {
		return l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
			ID: id, Service: "faults", Route: "look", Priority: call.Ranked(2),
			Target: l.now.Add(400 * time.Millisecond), Deadline: l.now.Add(900 * time.Millisecond),
		}})
	}
	if r, ok := find(peer("early"), node.Refuse{}).(node.Refuse); !ok || r.Outcome != call.NotRun || r.Reason != call.Leaving {
		t.Fatalf("before the upstream is listed: %+v", r)
	}
	l.list("self:2", "b:2")
	l.do(node.Tick{})
	l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
		ID: "0", Service: "faults", Deadline: l.now.Add(time.Second),
	}})
	l.do(node.RunEnded{ID: "0", Outcome: call.Run, Status: 200, Latency: 10 * time.Millisecond})
	l.after(100 * time.Millisecond)
	out := peer("1")
	if _, ok := find(out, node.Probe{}).(node.Probe); !ok {
		t.Fatalf("no probe before the start: %+v", out)
	}
	l.after(time.Millisecond)
	out = l.do(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving, PacePercent: 100}})
	if run, ok := find(out, node.Run{}).(node.Run); !ok || run.ID != "1" || run.Pace != 100 {
		t.Fatalf("not started: %+v", out)
	}
	out = l.do(node.RunEnded{ID: "1", Outcome: call.Run, Status: 200, Latency: 100 * time.Millisecond,
		Reading: measure.Reading{PacePercent: 500}, HasReading: true})
	if _, ok := find(out, node.WakeGate{}).(node.WakeGate); !ok {
		t.Fatalf("a slow upstream is not looked at again: %+v", out)
	}
	if r, ok := find(peer("2"), node.Refuse{}).(node.Refuse); !ok || r.Reason != call.Slow {
		t.Fatalf("while slow: %+v", r)
	}
	l.list("b:2")
	if r, ok := find(peer("3"), node.Refuse{}).(node.Refuse); !ok || r.Reason != call.Leaving {
		t.Fatalf("after the upstream has gone: %+v", r)
	}
	l.list("self:2", "b:2")
	l.after(50 * time.Millisecond)
	if _, ok := find(peer("4"), node.Probe{}).(node.Probe); !ok {
		t.Fatal("an upstream that is back gets no work")
	}
}

func TestPausedProcessAsksTheStoreFirst(t *testing.T) {
	l := directNode(t, config.Retry)
	l.routes(1, onlyFaults)
	l.list("self:2", "b:2")
	l.do(node.Tick{})
	l.after(5 * time.Second)
	if _, ok := find(l.do(node.Tick{}), node.RereadStore{}).(node.RereadStore); !ok {
		t.Fatal("the store is not asked after a pause")
	}
	request := node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
		ID: "1", Service: "faults", Deadline: l.now.Add(time.Second),
	}}
	if r, ok := find(l.do(request), node.Refuse{}).(node.Refuse); !ok || r.Reason != call.Stale || r.Outcome != call.NotRun {
		t.Fatalf("a run is started on old knowledge: %+v", r)
	}
	l.do(node.StoreAnswered{})
	request.Request.ID = "2"
	if r, ok := find(l.do(request), node.Refuse{}).(node.Refuse); ok {
		t.Fatalf("refused after the store has answered: %+v", r)
	}
}

func TestOlderRoutesNeverComeBack(t *testing.T) {
	l := directNode(t)
	l.routes(7, onlyFaults)
	l.list("b:2")
	l.routes(6, `[{"service":"orders"}]`)
	if f, ok := find(l.request("1", "/look/1"), node.Forward{}).(node.Forward); !ok || f.Request.Service != "faults" {
		t.Fatalf("an older document is in force: %+v", f)
	}
}

// TestFreshDaemonKnowsSlowFromFast: before a route's work is known its target
// tells what a slow start costs.
func TestFreshDaemonKnowsSlowFromFast(t *testing.T) {
	l := directNode(t, config.Probe, config.LoadAware, config.Shed)
	l.routes(1, onlyFaults)
	l.list("self:2")
	l.do(node.Tick{})
	l.do(node.RunEnded{})
	request := node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
		ID: "1", Service: "faults", Route: "look", Target: l.now.Add(400 * time.Millisecond), Deadline: l.now.Add(900 * time.Millisecond),
	}}
	first := request
	first.Request.ID = "0"
	l.do(first)
	l.do(node.RunEnded{ID: "0", Outcome: call.Run, Status: 500, Latency: time.Millisecond,
		Reading: measure.Reading{PacePercent: 500}, HasReading: true})
	if r, ok := find(l.do(request), node.Refuse{}).(node.Refuse); !ok || r.Reason != call.Slow {
		t.Fatalf("a fresh daemon starts work on a slow upstream: %+v", r)
	}
}

// TestPresentLifeIsMeant: a request is for the upstream that stands there now,
// whichever life its sender has from an older or a newer list.
func TestPresentLifeIsMeant(t *testing.T) {
	tests := map[string]struct {
		told   string // by the upstream of itself
		sender string
		want   string
		asked  bool
	}{
		"all agree":                     {"i-self:2", "i-self:2", "i-self:2", false},
		"the sender's list is older":    {"i-self:2", "i-before", "i-self:2", false},
		"the sender's list is newer":    {"i-new", "i-new", "i-new", true},
		"nobody has listed it":          {"i-new", "i-self:2", "i-self:2", true},
		"the upstream does not tell it": {"", "i-before", "i-self:2", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := directNode(t, config.LoadAware, config.Probe, config.Shed)
			l.routes(1, onlyFaults)
			l.list("self:2")
			// The first request finds no probe to spend yet.
			var out []node.Command
			for _, id := range []string{"0", "1"} {
				out = l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
					ID: id, Service: "faults", Deadline: l.now.Add(time.Second), Upstream: test.sender,
				}})
				l.after(100 * time.Millisecond)
			}
			out = append(out, l.do(node.ProbeEnded{Reading: measure.Reading{PacePercent: 100, Upstream: test.told}})...)
			run, ok := find(out, node.Run{}).(node.Run)
			if !ok || run.Upstream != test.want {
				t.Errorf("runs at %q, want %q", run.Upstream, test.want)
			}
			if _, asked := find(out, node.RereadStore{}).(node.RereadStore); asked != test.asked {
				t.Errorf("the store is asked: %t, want %t", asked, test.asked)
			}
			if again := l.do(node.ProbeEnded{Reading: measure.Reading{PacePercent: 100, Upstream: test.told}}); find(again, node.RereadStore{}) != nil {
				t.Error("the store is asked again at once")
			}
		})
	}
}

// TestLoadIsToldToThoseThatSend: in a large zone the load is told to daemons that
// sent a request lately, in a small one to all.
// TestUnlistedLifeIsAskedForLessAndLess: an upstream whose life is never listed
// costs the store few calls, and one that is listed soon is asked for at once.
func TestUnlistedLifeIsAskedForLessAndLess(t *testing.T) {
	l := directNode(t, config.LoadAware, config.Probe, config.Shed)
	l.routes(1, onlyFaults)
	l.list("self:2", "b:2")
	tell := func(life string) bool {
		out := l.do(node.ProbeEnded{Reading: measure.Reading{PacePercent: 100, Upstream: life}})
		return find(out, node.RereadStore{}) != nil
	}
	asked := 0
	for range 600 {
		l.after(100 * time.Millisecond)
		if tell("i-never") {
			asked++
		}
	}
	if asked < 8 || asked > 18 {
		t.Errorf("asked %d times in a minute, want every 5 s in the end", asked)
	}
	tell("i-self:2")
	l.after(time.Second)
	if !tell("i-next") {
		t.Error("the next life is not asked for at once")
	}
}

func TestLoadIsToldToThoseThatSend(t *testing.T) {
	tests := map[string]struct {
		others int
		since  time.Duration
		want   []string
	}{
		"a small zone":                 {3, 0, []string{"z0:2c", "z1:2c", "z2:2c"}},
		"a large zone":                 {20, 0, []string{"z7:2c"}},
		"a large zone, sent long ago":  {20, 2 * time.Second, nil},
		"a large zone, sent a bit ago": {20, 300 * time.Millisecond, []string{"z7:2c"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := directNode(t, config.LoadAware, config.Probe, config.Shed)
			l.routes(1, onlyFaults)
			ids := []string{"self:2"}
			for i := range test.others {
				ids = append(ids, fmt.Sprintf("z%d:2", i))
			}
			l.list(ids...)
			l.do(node.Tick{})
			l.do(node.PeerRequest{From: "z7:2", Target: "self:2", Request: call.Request{
				ID: "1", Service: "faults", Deadline: l.now.Add(5 * time.Second),
			}})
			l.after(test.since)
			var told []string
			for _, c := range l.do(node.ProbeEnded{Reading: measure.Reading{PacePercent: 500}}) {
				if send, ok := c.(node.Send); ok {
					told = append(told, send.Address)
				}
			}
			slices.Sort(told)
			if !slices.Equal(told, test.want) {
				t.Fatalf("told %v, want %v", told, test.want)
			}
		})
	}
}

// TestUpstreamThatTellsNoPaceServes: some upstreams tell no load, or none of their
// pace. They are used as they are, and not asked again and again.
func TestUpstreamThatTellsNoPaceServes(t *testing.T) {
	for name, before := range map[string]int{"from the start": 0, "after it told that it is slow": 500} {
		t.Run(name, func(t *testing.T) { testNoPace(t, before) })
	}
}

// testNoPace has an upstream that first tells a pace, where that is not 0, and
// then none.
func testNoPace(t *testing.T, before int) {
	t.Helper()
	l := directNode(t, config.LoadAware, config.Probe, config.Shed)
	l.routes(1, onlyFaults)
	l.list("self:2")
	l.do(node.Tick{})
	if before > 0 {
		l.do(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving, PacePercent: before}})
	}
	probes, runs := 0, 0
	take := func(commands []node.Command) (asked bool) {
		for _, c := range commands {
			switch c.(type) {
			case node.Probe:
				probes, asked = probes+1, true
			case node.Run:
				runs++
			}
		}
		return asked
	}
	// While it is found out, what was told before holds.
	const requests, foundOut = 40, 3
	for i := range requests {
		l.after(200 * time.Millisecond)
		l.do(node.Tick{})
		id := fmt.Sprint(i)
		if take(l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{
			ID: id, Service: "faults", Deadline: l.now.Add(time.Second), Route: "look",
		}})) {
			l.after(time.Millisecond)
			take(l.do(node.ProbeEnded{Reading: measure.Reading{State: measure.Serving}}))
		}
		l.after(20 * time.Millisecond)
		take(l.do(node.RunEnded{ID: id, Outcome: call.Run, Reason: call.Answered, Status: 200, Latency: 20 * time.Millisecond}))
	}
	if runs < requests-foundOut || before == 0 && runs != requests || probes > 10 {
		t.Errorf("%d of %d requests run, %d probes", runs, requests, probes)
	}
	if got := l.Load(l.now).State; got != balance.Serving {
		t.Errorf("the upstream is told as %s", got)
	}
	// An answer that tells the pace is believed again.
	l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{ID: "x", Service: "faults", Deadline: l.now.Add(time.Second)}})
	l.do(node.RunEnded{ID: "x", Outcome: call.Run, Status: 200, HasReading: true, Reading: measure.Reading{PacePercent: 500}})
	l.after(200 * time.Millisecond)
	probes = 0
	if !take(l.do(node.PeerRequest{From: "b:2", Target: "self:2", Request: call.Request{ID: "y", Service: "faults", Deadline: l.now.Add(time.Second)}})) {
		t.Error("an upstream that tells its pace is not asked")
	}
}
