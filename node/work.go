package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

// workSmoothing is the inverse of the weight of one run in a route's average
// work and in its mean deviation.
const workSmoothing = 16

// work is the processing time of a route's requests at nominal pace.
type work struct {
	mean      time.Duration
	deviation time.Duration
}

// learnWork updates the work of the run's route and returns the duration of the
// run, converted to nominal pace if the pace is known.
func (n *Node) learnWork(run *runState, took time.Duration) time.Duration {
	if run.pace == 0 || run.request.Route == "" {
		return took
	}
	nominal := took * admit.NominalPace / time.Duration(run.pace)
	n.observeWork(run.request.Route, nominal)
	return nominal
}

// observeWork adds one run, in time at nominal pace, to its route's average
// work and its mean deviation.
func (n *Node) observeWork(route string, nominal time.Duration) {
	w, known := n.routeWork[route]
	switch {
	case !known && len(n.routeWork) >= maxRoutesLearned:
		return
	case !known:
		w.mean = nominal
	}
	w.deviation += ((nominal - w.mean).Abs() - w.deviation) / workSmoothing
	w.mean += (nominal - w.mean) / workSmoothing
	n.routeWork[route] = w
}

// defaultWorkDivisor is what the time to a request's target is divided by to get
// the work assumed for a route without observed runs.
const defaultWorkDivisor = 4

// expectedWork returns the expected duration of a request at nominal pace, 0 if
// not known.
func (n *Node) expectedWork(r call.Request, now time.Time) time.Duration {
	if w, known := n.routeWork[r.Route]; known {
		return w.mean
	}
	if r.Target.IsZero() {
		return 0
	}
	return max(r.Target.Sub(now)/defaultWorkDivisor, 0)
}

// workSpread returns the mean deviation of a request's work from what is expected. While
// no run was observed, the work may be anything.
func (n *Node) workSpread(r call.Request) time.Duration {
	if w, known := n.routeWork[r.Route]; known {
		return w.deviation
	}
	return r.ExpectedWork
}

// maxRoutesLearned limits the routes whose work is remembered.
const maxRoutesLearned = 1024
