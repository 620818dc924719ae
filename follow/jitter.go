package follow

import "time"

// spread returns a random delay of at most a part of Config.ApplyWithin, by which daemons
// that read the store for the same reason spread their reads.
func (f *Follower) spread(percent int) time.Duration {
	spread := f.cfg.percent(percent)
	if f.cfg.Rand == nil || spread <= 0 {
		return 0
	}
	return time.Duration(f.cfg.Rand() % uint64(spread))
}

// jittered returns a random duration of half to one and a half times the given one.
func (f *Follower) jittered(d time.Duration) time.Duration {
	if f.cfg.Rand == nil || d <= 0 {
		return d
	}
	return d/2 + time.Duration(f.cfg.Rand()%uint64(d))
}
