package main

import "time"

func init() { cases["fractional-weight"] = caseRun{"RECOVER", fractionalWeight} }

// fractionalWeight: the operator divides the bookings between two services, three to one.
// The weights are whole numbers, or fractions above 100. Then all daemons are killed and
// started again.
func fractionalWeight(f *fleet, trouble bool) error {
	stop := make(chan struct{})
	wg := f.offer(f.clients(), 1, stop)
	before := f.rec.since()
	time.Sleep(calmFor)
	weights := [2]any{75, 25}
	if trouble {
		weights = [2]any{112.5, 37.5}
	}
	config := siteConfig(2, 0)
	booking := config["routes"].(map[string]any)["booking"].(map[string]any)
	delete(booking, "service")
	booking[partsField] = []any{
		map[string]any{"service": "bookings", "weight": weights[0]},
		map[string]any{"service": "routes", "weight": weights[1]},
	}
	f.store.put(configKey, config)
	f.rec.note("configuration 00000002: bookings have the weights %v", weights)
	time.Sleep(calmFor)
	after := f.rec.since()
	f.rec.note("all daemons are killed")
	f.killAll()
	time.Sleep(downTime)
	for _, m := range f.machines {
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	return f.judgeRecovery(before, after, func() { close(stop); wg.Wait() })
}
