package experiment

import (
	"sync"
	"time"
)

// Ledger holds what no daemon can know at once: the true state of each
// upstream, and the attempts under way from each daemon to each upstream.
type Ledger struct {
	life time.Duration

	mu       sync.Mutex
	index    map[string]int
	zones    []string
	truths   []truth
	underWay [][][]time.Time // by daemon and upstream: when attempts began
	cut      string
}

// truth is the state of one upstream.
type truth struct {
	factor  float64
	closed  bool
	coldEnd time.Time
}

// newLedger returns a ledger in which an attempt lasts at most life.
func newLedger(life time.Duration) *Ledger {
	return &Ledger{life: life, index: map[string]int{}}
}

// add makes room for an instance: an upstream and the daemon beside it.
func (l *Ledger) add(id, zone string) {
	l.index[id] = len(l.zones)
	l.zones = append(l.zones, zone)
	l.truths = append(l.truths, truth{factor: 1})
	n := len(l.zones)
	l.underWay = make([][][]time.Time, n)
	for i := range l.underWay {
		l.underWay[i] = make([][]time.Time, n)
	}
}

// alter changes the state of one upstream.
func (l *Ledger) alter(upstream int, change func(*truth)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.truths[upstream])
}

// cutOff notes that a zone cannot be reached from the others.
func (l *Ledger) cutOff(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = zone
}

// Began counts an attempt from a daemon to the upstream with this ID.
func (l *Ledger) Began(daemon int, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.index[id]
	l.underWay[daemon][u] = append(l.underWay[daemon][u], now)
}

// ended counts the end, at the upstream, of a call that a caller sent to a
// daemon at a time. An attempt that never came to the upstream stays on the
// list until its life is over, so the one nearest to that time is taken off.
func (l *Ledger) ended(daemon, upstream int, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.underWay[daemon][upstream]
	best := -1
	for i := range list {
		if best < 0 || list[i].Sub(sent).Abs() < list[best].Sub(sent).Abs() {
			best = i
		}
	}
	if best >= 0 {
		l.underWay[daemon][upstream] = append(list[:best], list[best+1:]...)
	}
}

// InFlight returns the attempts under way from one daemon to an upstream.
func (l *Ledger) InFlight(daemon int, id string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(daemon, l.index[id], now)
}

// Since returns the attempts under way from one daemon to an upstream that
// began after a time.
func (l *Ledger) Since(daemon int, id string, after, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(daemon, l.index[id], now)
	n := 0
	for _, began := range l.underWay[daemon][l.index[id]] {
		if began.After(after) {
			n++
		}
	}
	return n
}

// Total returns the attempts under way from all daemons to an upstream.
func (l *Ledger) Total(id string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for daemon := range l.underWay {
		n += l.count(daemon, l.index[id], now)
	}
	return n
}

func (l *Ledger) count(daemon, upstream int, now time.Time) int {
	list := l.underWay[daemon][upstream]
	for len(list) > 0 && now.Sub(list[0]) > l.life {
		list = list[1:]
	}
	l.underWay[daemon][upstream] = list
	return len(list)
}

// Open reports whether a daemon can have calls answered by an upstream.
func (l *Ledger) Open(daemon int, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.index[id]
	from, to := l.zones[daemon], l.zones[u]
	reached := l.cut == "" || from == to || (from != l.cut && to != l.cut)
	return reached && !l.truths[u].closed
}

// Factor returns how much slower than usual an upstream is.
func (l *Ledger) Factor(id string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.truths[l.index[id]]
	factor := t.factor
	if left := t.coldEnd.Sub(now); left > 0 {
		factor *= 1 + (coldFactor-1)*float64(left)/float64(coldTime)
	}
	return factor
}
