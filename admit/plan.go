package admit

import (
	"slices"
	"time"
)

// job is a queued call as the planner sees it. Times are relative to the present.
type job struct {
	work time.Duration
	// latest is when the call must end to be in time, or noLimit.
	latest time.Duration
	// shedKey decides which call is refused: the one with the greatest is first.
	shedKey float64
	late    bool
}

const noLimit = time.Duration(1<<63 - 1)

// slotTimes holds when each slot is expected to be free, as a binary heap.
type slotTimes []time.Duration

// init establishes the order of the heap.
func (s slotTimes) init() { slices.Sort(s) }

// take assigns work to the slot that is free first and returns when the work ends.
func (s slotTimes) take(work time.Duration) time.Duration {
	end, at := s[0]+work, 0
	for {
		child := 2*at + 1
		if child >= len(s) {
			break
		}
		if child+1 < len(s) && s[child+1] < s[child] {
			child++
		}
		if s[child] >= end {
			break
		}
		s[at], at = s[child], child
	}
	s[at] = end
	return end
}

// planner finds the queued calls that cannot all be in time. It keeps its buffers
// between plans.
type planner struct {
	jobs                 []job
	free, planned, trial slotTimes
}

// plan marks the late ones of jobs, which are in the order in which they are served, so
// that as many others as possible are in time (the algorithm of Moore and Hodgson): if a
// job would be late, the one with the greatest shedKey of those up to it is late instead.
// With several slots this is a heuristic. free is when the slots are free, and changes to
// when they are free after the jobs that are in time.
func (p *planner) plan(jobs []job, free slotTimes) {
	p.planned = append(p.planned[:0], free...)
	for i := range jobs {
		if p.planned[0]+jobs[i].work <= jobs[i].latest {
			p.planned.take(jobs[i].work)
			continue
		}
		jobs[i].late = true
		// A job that would be late even if it were first displaces no other.
		if free[0]+jobs[i].work <= jobs[i].latest {
			p.displace(jobs[:i+1], free)
		}
	}
	copy(free, p.planned)
}

// displace makes the last job be in time in place of the one with the greatest shedKey, if
// that is another one and its removal suffices.
func (p *planner) displace(jobs []job, free slotTimes) {
	last := len(jobs) - 1
	victim := last
	for i := range jobs[:last] {
		if !jobs[i].late && jobs[i].shedKey > jobs[victim].shedKey {
			victim = i
		}
	}
	if victim == last {
		return
	}
	jobs[victim].late, jobs[last].late = true, false
	p.trial = append(p.trial[:0], free...)
	var end time.Duration
	for _, j := range jobs {
		if !j.late {
			end = p.trial.take(j.work)
		}
	}
	if end > jobs[last].latest {
		jobs[victim].late, jobs[last].late = false, true
		return
	}
	p.planned, p.trial = p.trial, p.planned
}
