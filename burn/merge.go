package burn

import (
	"slices"
	"time"
)

// Merge adds up the reports of several daemons. If an instance has several reports,
// only the newest counts. If daemons use different levels for a service, as while a
// new document spreads, the stricter one applies.
func Merge(reports ...Report) Report {
	merged := Report{}
	services := make(map[string]*Service)
	for _, r := range newestPerInstance(reports) {
		merged.Daemons += r.Daemons
		merged.Dropped += r.Dropped
		merged.Since = earlier(merged.Since, r.Since)
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, s := range r.Services {
			addService(services, s)
		}
	}
	for _, s := range services {
		s.derive()
		merged.Services = append(merged.Services, *s)
	}
	merged.sort()
	return merged
}

// newestPerInstance drops the reports of instances that have a newer one.
func newestPerInstance(reports []Report) []Report {
	last := make(map[string]int)
	for i, r := range reports {
		j, ok := last[r.Instance]
		if !ok || !r.At.Before(reports[j].At) {
			last[r.Instance] = i
		}
	}
	var kept []Report
	for i, r := range reports {
		if r.Instance == "" || last[r.Instance] == i {
			kept = append(kept, r)
		}
	}
	return kept
}

// addService adds the counts of s to services.
func addService(services map[string]*Service, s Service) {
	sum, ok := services[s.Name]
	if !ok {
		s.Windows = slices.Clone(s.Windows)
		services[s.Name] = &s
		return
	}
	sum.ServiceLevel = sum.ServiceLevel.stricter(s.ServiceLevel)
	for _, c := range s.Windows {
		sum.addCount(c)
	}
}

func (s *Service) addCount(c Count) {
	for i := range s.Windows {
		w := &s.Windows[i]
		if w.Window == c.Window {
			w.Calls += c.Calls
			w.Failed += c.Failed
			w.Slow += c.Slow
			return
		}
	}
	s.Windows = append(s.Windows, c)
}

// earlier returns the earlier of two times; zero means unknown.
func earlier(x, y time.Time) time.Time {
	if x.IsZero() || !y.IsZero() && y.Before(x) {
		return y
	}
	return x
}
