// Package burn computes how fast each service consumes its error budget.
//
// The budget is the share of calls that the service level allows to fail: 0.1 %
// at an availability of 99.9 %. A burn rate of 1 uses it up exactly, a rate of 10
// ten times too fast. Rates are computed over several windows, so that both short
// bursts and slow losses are detected and past ones soon stop to count, as in
// "Alerting on SLOs", chapter 5 of The Site Reliability Workbook (Google, 2018).
//
//	b := burn.New(burn.Config{Instance: "faults-1", ServiceLevel: serviceLevel})
//	b.Record("orders", answered, took, now)
//	fmt.Print(b.Report(now))
//
// A Burn counts the calls that one daemon received from callers; Merge adds up the
// reports of several daemons. A Burn is not safe for concurrent use.
package burn

import (
	"slices"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

// DefaultMaxServices is the default of Config.MaxServices.
const DefaultMaxServices = 1024

// Config configures a Burn.
type Config struct {
	// Instance is the name of the daemon in reports.
	Instance string
	// ServiceLevel returns the service level of a service, or false to use the default
	// level. It may be nil.
	ServiceLevel func(service string) (config.ServiceLevel, bool)
	// MaxServices limits the number of services and thus the memory, with
	// BytesPerService for each; 0 means DefaultMaxServices.
	MaxServices int
}

// Burn counts calls by service and minute for the last 6 hours.
type Burn struct {
	instance     string
	serviceLevel func(service string) (config.ServiceLevel, bool)
	maxServices  int
	services     map[string]*ring
	since        time.Time
	dropped      uint64
}

// New returns a Burn without calls.
func New(c Config) *Burn {
	b := &Burn{
		instance:     c.Instance,
		serviceLevel: c.ServiceLevel,
		maxServices:  c.MaxServices,
		services:     make(map[string]*ring),
	}
	if b.maxServices <= 0 {
		b.maxServices = DefaultMaxServices
	}
	return b
}

// Record counts one call that ended at now with the given latency. ok means that the
// caller received the complete response of an upstream that did not fail. Calls
// that the caller cancelled or that were invalid must not be recorded.
func (b *Burn) Record(service string, ok bool, latency time.Duration, now time.Time) {
	if b.since.IsZero() || now.Before(b.since) {
		b.since = now
	}
	r := b.ring(service, now)
	if r == nil {
		b.dropped++
		return
	}
	count := r.bucketAt(minuteOf(now))
	count.calls++
	switch {
	case !ok:
		count.failed++
	case latency > b.serviceLevelOf(service).Latency():
		count.slow++
	}
}

// Services returns the number of services with counts.
func (b *Burn) Services() int { return len(b.services) }

// ring returns the counts of a service, or nil if the limit of services is reached.
func (b *Burn) ring(service string, now time.Time) *ring {
	r, ok := b.services[service]
	if ok {
		return r
	}
	if len(b.services) >= b.maxServices {
		b.dropIdle(now)
	}
	if len(b.services) >= b.maxServices {
		return nil
	}
	r = newRing(minuteOf(now))
	b.services[strings.Clone(service)] = r
	return r
}

// dropIdle drops the services without a call in the longest window.
func (b *Burn) dropIdle(now time.Time) {
	oldest := minuteOf(now) - ringMinutes
	for name, r := range b.services {
		if r.newest <= oldest {
			delete(b.services, name)
		}
	}
}

func (b *Burn) serviceLevelOf(service string) config.ServiceLevel {
	if b.serviceLevel != nil {
		if serviceLevel, ok := b.serviceLevel(service); ok {
			return serviceLevel
		}
	}
	return config.DefaultServiceLevel()
}

// Report returns the burn at now of the given services, or of all if none is given,
// sorted by name. Services without a call in the longest window are omitted.
func (b *Burn) Report(now time.Time, services ...string) Report {
	report := Report{Instance: b.instance, Daemons: 1, At: now, Since: b.since, Dropped: b.dropped}
	for name, r := range b.services {
		if len(services) > 0 && !slices.Contains(services, name) {
			continue
		}
		s := Service{Name: name, ServiceLevel: newServiceLevel(b.serviceLevelOf(name))}
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
