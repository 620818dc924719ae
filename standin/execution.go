package standin

import (
	"sync"
	"time"
)

// maxExecutions bounds the record of a worker.
const maxExecutions = 1_000_000

// Execution is one request as a worker saw it. Times are microseconds of Unix
// time: a request has arrived when its headers have, and starts when its whole
// body is there and it has a slot.
type Execution struct {
	Worker  string `json:"worker"`
	Call    string `json:"call,omitempty"`
	Key     string `json:"key,omitempty"`
	Token   string `json:"token,omitempty"`
	Send    string `json:"send,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	Method  string `json:"method"`
	BodySum string `json:"bodySum"`
	Bytes   int64  `json:"bytes"`
	Status  int    `json:"status"`
	// ArrivedUs is never after StartUs.
	ArrivedUs int64 `json:"arrivedUs"`
	StartUs   int64 `json:"startUs"`
	EndUs     int64 `json:"endUs,omitempty"`
	// Short is true when the body was cut short; such a request does not run.
	Short bool `json:"short,omitempty"`
	// Crashed is true when the request took the worker down.
	Crashed bool `json:"crashed,omitempty"`
}

// Ran reports whether the request had an effect at the worker.
func (e Execution) Ran() bool { return !e.Short }

// record keeps the executions of a worker in the order in which they started.
type record struct {
	mu   sync.Mutex
	all  []Execution
	lost int
}

// start notes an execution and returns its place, or -1 when the record is
// full.
func (r *record) start(e Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) >= maxExecutions {
		r.lost++
		return -1
	}
	r.all = append(r.all, e)
	return len(r.all) - 1
}

// end notes how an execution ended.
func (r *record) end(place, status int, crashed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if place < 0 {
		return
	}
	r.all[place].Status = status
	r.all[place].Crashed = crashed
	r.all[place].EndUs = now.UnixMicro()
}

// copy returns the executions so far and how many did not fit.
func (r *record) copy() ([]Execution, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.all...), r.lost
}
