package standin

import (
	"sync"
	"time"
)

// loadSample is how often a worker with a lag notes its load.
const loadSample = 20 * time.Millisecond

// lagged remembers loads until they are old enough to be reported.
type lagged struct {
	mu   sync.Mutex
	past []loadAt
}

type loadAt struct {
	at   time.Time
	load Load
}

// add notes the load and forgets what is older than the reported one.
func (l *lagged) add(load Load, now time.Time, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, loadAt{at: now, load: load})
	for len(l.past) > 1 && now.Sub(l.past[1].at) >= lag {
		l.past = l.past[1:]
	}
}

// oldest returns the load to be reported.
func (l *lagged) oldest() (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.past) == 0 {
		return Load{}, false
	}
	return l.past[0].load, true
}

// sampleLoad notes the load again and again, when it is reported late.
func (w *Worker) sampleLoad() {
	if w.cfg.LoadLag <= 0 {
		return
	}
	for w.sleep(loadSample) {
		now := time.Now()
		w.load.add(w.loadNow(now), now, w.cfg.LoadLag)
	}
}

// loadNow returns the true load.
func (w *Worker) loadNow(now time.Time) Load {
	return Load{State: w.state(now), InFlight: int(w.inFlight.Load()), Slots: w.cfg.Slots}
}

// reportedLoad returns the load as GET /load tells it.
func (w *Worker) reportedLoad(now time.Time) Load {
	if w.cfg.LoadLag > 0 {
		if load, ok := w.load.oldest(); ok {
			return load
		}
	}
	return w.loadNow(now)
}
