// Package burn tells how fast each service uses up its error budget.
//
// The budget is what the service level leaves for failure: 0.1 % of calls at
// an availability of 99.9 %. A burn rate of 1 uses it up exactly, a rate of 10
// ten times too fast. Rates are told over several windows, so that a short
// burst and a slow loss are both seen and a past one is soon forgotten, as in
// "Alerting on SLOs", chapter 5 of The Site Reliability Workbook (Google,
// 2018).
//
//	b := burn.New(burn.Config{Instance: "faults-1", Level: level})
//	b.Record("orders", answered, took, now)
//	fmt.Print(b.Report(now))
//
// A Burn takes counts for one daemon, of the calls that callers handed to it.
// Merge adds up the reports of several. It is not safe for use by goroutines
// at once.
package burn

import (
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// DefaultMaxServices bounds the services of a Burn whose Config sets no bound.
const DefaultMaxServices = 1024

// Config sets up a Burn.
type Config struct {
	// Instance names the daemon in reports.
	Instance string
	// Level returns the service level of a service, or false for the default
	// level. It may be nil.
	Level func(service string) (config.Level, bool)
	// MaxServices bounds the memory, at BytesPerService each; 0 is
	// DefaultMaxServices.
	MaxServices int
}

// Burn counts calls by service and minute for the last 6 hours.
type Burn struct {
	instance string
	level    func(service string) (config.Level, bool)
	most     int
	services map[string]*ring
	since    time.Time
	dropped  uint64
}

// New returns a Burn with no calls.
func New(c Config) *Burn {
	b := &Burn{
		instance: c.Instance,
		level:    c.Level,
		most:     c.MaxServices,
		services: make(map[string]*ring),
	}
	if b.most <= 0 {
		b.most = DefaultMaxServices
	}
	return b
}

// Record counts one call that ended at now and took latency. It is ok when the
// caller was given the whole answer of an upstream that did not fail; what the
// caller itself cancelled or got wrong is not to be recorded.
func (b *Burn) Record(service string, ok bool, latency time.Duration, now time.Time) {
	if b.since.IsZero() || now.Before(b.since) {
		b.since = now
	}
	r := b.ring(service, now)
	if r == nil {
		b.dropped++
		return
	}
	count := r.at(minuteOf(now))
	count.calls++
	switch {
	case !ok:
		count.failed++
	case latency > b.levelOf(service).Latency():
		count.slow++
	}
}

// Services returns how many services are held.
func (b *Burn) Services() int { return len(b.services) }

// ring returns the counts of service, or nil when there is no room for it.
func (b *Burn) ring(service string, now time.Time) *ring {
	r, ok := b.services[service]
	if ok {
		return r
	}
	if len(b.services) >= b.most {
		b.dropIdle(now)
	}
	if len(b.services) >= b.most {
		return nil
	}
	r = newRing(minuteOf(now))
	b.services[strings.Clone(service)] = r
	return r
}

// dropIdle drops the services that had no call in the longest window.
func (b *Burn) dropIdle(now time.Time) {
	oldest := minuteOf(now) - ringMinutes
	for name, r := range b.services {
		if r.newest <= oldest {
			delete(b.services, name)
		}
	}
}

func (b *Burn) levelOf(service string) config.Level {
	if b.level != nil {
		if level, ok := b.level(service); ok {
			return level
		}
	}
	return config.DefaultLevel()
}

// Report returns the burn at now of the services named, or of all when none is
// named, sorted by name. Services with no call in the longest window are left
// out.
func (b *Burn) Report(now time.Time, services ...string) Report {
	report := Report{Instance: b.instance, Daemons: 1, At: now, Since: b.since, Dropped: b.dropped}
	for name, r := range b.services {
		if len(services) > 0 && !slices.Contains(services, name) {
			continue
		}
		s := Service{Name: name, Level: newLevel(b.levelOf(name))}
		for _, window := range Windows() {
			sum := r.sum(minuteOf(now), window.minutes())
			s.Windows = append(s.Windows, Count{
				Window: window,
				Calls:  sum.calls,
				Failed: sum.failed,
				Slow:   sum.slow,
			})
		}
		if s.count(SixHours).Calls > 0 {
			s.derive()
			report.Services = append(report.Services, s)
		}
	}
	report.sort()
	return report
}
