package node

import (
	"time"

	"pomelodoor.example/pomelodoor/admit"
	"pomelodoor.example/pomelodoor/call"
)

// workWeight is the inverse of the share of one run in a route's work.
const workWeight = 16

// learnWork lets one run count towards what its route takes at the usual pace.
func (n *Node) learnWork(run *runState, ran time.Duration) time.Duration {
	if run.pace == 0 || run.request.Route == "" {
		return ran
	}
	usual := ran * admit.UsualPace / time.Duration(run.pace)
	n.worked(run.request.Route, usual)
	return usual
}

// worked lets one run at the usual pace count towards its route's work.
func (n *Node) worked(route string, usual time.Duration) {
	work, known := n.work[route]
	switch {
	case !known && len(n.work) >= maxRoutesLearned:
		return
	case !known:
		work = usual
	}
	n.work[route] = work + (usual-work)/workWeight
}

// workGuess is the part of the time to its target that a request is taken to need
// while nothing is known of its route.
const workGuess = 4

// workOf returns what a request is expected to take at the usual pace.
func (n *Node) workOf(r call.Request, now time.Time) time.Duration {
	if work, known := n.work[r.Route]; known {
		return work
	}
	if r.Target.IsZero() {
		return 0
	}
	return max(r.Target.Sub(now)/workGuess, 0)
}

// maxRoutesLearned bounds the routes whose work is remembered.
const maxRoutesLearned = 1024
