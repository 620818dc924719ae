package standin

import (
	"sync"
	"time"
)

// loadSampleInterval is the interval at which a worker with a LoadLag samples its
// load.
const loadSampleInterval = 20 * time.Millisecond

// loadHistory keeps load samples until they are old enough to be reported.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// add records a load and discards the samples older than the one to report.
func (h *loadHistory) add(load Load, now time.Time, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{at: now, load: load})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
}

// oldest returns the load to report, and false if there is no sample.
func (h *loadHistory) oldest() (Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return Load{}, false
	}
	return h.samples[0].load, true
}

// sampleLoad samples the load periodically if a LoadLag is configured.
func (w *Worker) sampleLoad() {
	if w.cfg.LoadLag <= 0 {
		return
	}
	for w.sleep(loadSampleInterval) {
		now := time.Now()
		w.loads.add(w.currentLoad(now), now, w.cfg.LoadLag)
	}
}

// currentLoad returns the load without lag.
func (w *Worker) currentLoad(now time.Time) Load {
	return Load{State: w.state(now), InFlight: int(w.inFlight.Load()), Slots: w.cfg.Slots}
}

// reportedLoad returns the load as GET /load reports it.
func (w *Worker) reportedLoad(now time.Time) Load {
	if w.cfg.LoadLag > 0 {
		if load, ok := w.loads.oldest(); ok {
			return load
		}
	}
	return w.currentLoad(now)
}
