package once

import (
	"fmt"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// figures counts what became of orders, by kind of key.
type figures struct {
	sent, refused, asked map[KeyKind]int
	last                 map[KeyKind]time.Duration
	kinds                map[string]KeyKind
}

// traffic sends ten new orders a second of each kind for a while, each through
// a daemon A that takes an instance out of its view five seconds after a crash.
func (w *world) traffic(f *figures, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.step() {
		for _, kind := range []KeyKind{Issued, Timed, Opaque} {
			w.order1(f, kind)
		}
	}
}

func (w *world) order1(f *figures, kind KeyKind) {
	a := w.any()
	for kind == Issued && a.frozen {
		a = w.any() // no answer; the caller asks another daemon for a key
	}
	key := fmt.Sprint("order-", w.rng.Uint64())
	switch kind {
	case Issued:
		issued, ok := a.book.IssueKey(a.clock(w.now))
		if !ok {
			return
		}
		key = issued
	case Timed:
		key = timedKey(w.now.Add(500*time.Millisecond), w.rng.Uint64())
	}
	home, ok, _ := Route(key, w.routable())
	if kind != Issued && w.leavers[a.self.ID] {
		return
	}
	w.next++
	id := fmt.Sprint("call-", w.next)
	f.kinds[id] = kind
	f.sent[kind]++
	n := w.nodes[home.ID]
	w.history.begin(id, key)
	if !ok || n == nil || n.frozen || n.side != a.side {
		w.history.answer(id, key, call.Unknown, call.ConnectFailed, 0, w.now)
		return
	}
	w.messages = append(w.messages, message{w.now, "caller", home.ID, call.Request{ID: id, Key: key, Method: "POST", Fingerprint: 7}})
}

// routable returns the instances that callers' daemons believe live.
func (w *world) routable() []Member {
	var members []Member
	for _, id := range w.order {
		_, runs := w.nodes[id]
		if runs && !w.leavers[id] || w.crashed[id].Add(5*time.Second).After(w.now) {
			members = append(members, Member{Incarnation: Incarnation{ID: id}, Live: true})
		}
	}
	return members
}

func (w *world) kill(id string) {
	w.crashed[id] = w.now
	w.stop(id)
}

// replace starts a new instance and lets an old one leave.
func (w *world) replace(f *figures, id string) {
	w.grow(1)
	w.traffic(f, 10*time.Second)
	w.leavers[id] = true
	w.nodes[id].book.Leave()
	w.traffic(f, 3*time.Second)
	w.retire(w.nodes[id])
}

func TestFigures(t *testing.T) {
	if testing.Short() {
		t.Skip("a report, no check")
	}
	tests := map[string]struct {
		size  int
		warm  time.Duration
		event func(w *world, f *figures)
	}{
		"steady":                                {5, 15 * time.Minute, func(*world, *figures) {}},
		"crash of 1 of 5, a new one after 30 s": {5, 15 * time.Minute, func(w *world, f *figures) { w.kill("orders-0"); w.traffic(f, 30*time.Second); w.grow(1) }},
		"crash of 1 of 5, restart after 5 s":    {5, 15 * time.Minute, func(w *world, f *figures) { w.kill("orders-0"); w.traffic(f, 5*time.Second); w.start("orders-0") }},
		"crash of 1 of 2, a new one after 30 s": {2, 15 * time.Minute, func(w *world, f *figures) { w.kill("orders-0"); w.traffic(f, 30*time.Second); w.grow(1) }},
		"rolling replacement of 5, graceful, one a minute": {5, 15 * time.Minute, func(w *world, f *figures) {
			for i := range 5 {
				w.replace(f, fmt.Sprint("orders-", i))
				w.traffic(f, 47*time.Second)
			}
		}},
		"rolling replacement of 5, killed, one a minute": {5, 15 * time.Minute, func(w *world, f *figures) {
			for i := range 5 {
				w.grow(1)
				w.traffic(f, 10*time.Second)
				w.kill(fmt.Sprint("orders-", i))
				w.traffic(f, 50*time.Second)
			}
		}},
		"partition 2 of 5 for 30 s": {5, 15 * time.Minute, func(w *world, f *figures) {
			w.nodes["orders-0"].side, w.nodes["orders-1"].side = 1, 1
			w.traffic(f, 30*time.Second)
			w.nodes["orders-0"].side, w.nodes["orders-1"].side = 0, 0
		}},
		"1 of 5 frozen for 30 s": {5, 15 * time.Minute, func(w *world, f *figures) {
			w.nodes["orders-0"].frozen = true
			w.traffic(f, 30*time.Second)
			w.nodes["orders-0"].frozen = false
		}},
		"fresh fleet of 5": {5, 0, func(*world, *figures) {}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 0)
			w.loss, w.hostile = 0, false
			w.crashed, w.leavers = map[string]time.Time{}, map[string]bool{}
			w.config = Config{MaxRecords: 1 << 20, Rand: w.rng.Uint64}
			w.grow(tt.size)
			w.steps(tt.warm)
			f := &figures{map[KeyKind]int{}, map[KeyKind]int{}, map[KeyKind]int{}, map[KeyKind]time.Duration{}, map[string]KeyKind{}}
			began := w.now
			tt.event(w, f)
			w.traffic(f, began.Add(12*time.Minute).Sub(w.now))
			w.steps(3 * time.Second)
			reasons := map[string]int{}
			for _, a := range w.history.answers {
				kind := f.kinds[a.callID]
				f.refused[kind]++
				if kind == Opaque {
					reasons[fmt.Sprint(a.reason)]++
				}
				f.last[kind] = a.at.Sub(began)
			}
			for id := range w.asked {
				f.asked[f.kinds[id]]++
			}
			for _, kind := range []KeyKind{Issued, Timed, Opaque} {
				t.Logf("%-7s refused %5.2f %%, the last after %v; asked others %5.2f %%", kind,
					100*float64(f.refused[kind])/float64(f.sent[kind]), f.last[kind].Round(time.Second), 100*float64(f.asked[kind])/float64(f.sent[kind]))
			}
			t.Log(reasons)
			if err := w.history.check(DefaultWindow); err != nil {
				t.Error(err)
			}
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	w := newWorld(1, 0)
	w.loss, w.hostile = 0, false
	w.config = Config{MaxRecords: 1 << 20, Rand: w.rng.Uint64}
	w.grow(6)
	w.steps(15 * time.Minute)
	n := w.any()
	now := n.clock(w.now)
	runs, sends := 0, 0
	for b.Loop() {
		sends++
		key := timedKey(now, uint64(sends))
		if n.book.Begin(call.Request{ID: "c", Key: key}, now)[0].Kind == Run {
			runs++
			n.book.Finish(key, call.NotRun, Answer{}, now)
		}
		if n.book.Len() > 10000 {
			clear(n.book.records.byKey)
		}
	}
	b.ReportMetric(float64(runs)/float64(sends), "runs/op")
}
