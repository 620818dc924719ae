package main

import "time"

// The doses are within those of the standard days of bfl-prairie: srv_grey (how shed
// all) with x = 0.55 for 8.5 s, garble (how extra late) with share = 0.6 and x = 0.03
// for 5 s.
const (
	shedShare = 0.25
	lateShare = 0.03
	lateFor   = 5 * time.Second
	// highLoad is the traffic of the days of high load, in parts of that of SYSTEM.md.
	highLoad = 1.35
)

func init() { cases["late-rejection"] = caseRun{"TWICE", lateRejection} }

// lateRejection: in each of several rounds the workers of bookings reject part of their
// requests, and half of the workers send the second copy of a few of their answers where
// the next answer is due.
func lateRejection(f *fleet, trouble bool) error {
	stop := make(chan struct{})
	wg := f.offer(f.clients(), highLoad, stop)
	workers := f.of("bookings")
	for range 18 {
		time.Sleep(400 * time.Millisecond)
		f.rec.note("the workers of bookings reject a share of %g", shedShare)
		for i, m := range workers {
			late := 0.0
			if trouble && i < len(workers)/2 {
				late = lateShare
				f.rec.note("%s repeats a share of %g of its answers", m.worker.name(), late)
			}
			m.worker.setFaults(shedShare, late)
		}
		time.Sleep(lateFor)
		for _, m := range workers {
			m.worker.setFaults(0, 0)
		}
	}
	close(stop)
	wg.Wait()
	return nil
}
