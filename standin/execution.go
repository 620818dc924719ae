package standin

import (
	"sync"
	"time"
)

// maxExecutions limits the number of executions that a worker records.
const maxExecutions = 1_000_000

// Execution is one request as seen by a worker. Times are Unix times in
// microseconds: a request arrives with its headers, and starts when its whole
// body has been received and it holds a slot.
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
	// Truncated is true if the body was incomplete; such a request does not run.
	Truncated bool `json:"short,omitempty"`
	// Crashed is true if the request crashed the worker.
	Crashed bool `json:"crashed,omitempty"`
}

// Ran reports whether the request had an effect at the worker.
func (e Execution) Ran() bool { return !e.Truncated }

// executionLog keeps the executions of a worker in start order.
type executionLog struct {
	mu         sync.Mutex
	executions []Execution
	dropped    int
}

// start records an execution and returns its index, or -1 if the log is full.
func (l *executionLog) start(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) >= maxExecutions {
		l.dropped++
		return -1
	}
	l.executions = append(l.executions, e)
	return len(l.executions) - 1
}

// end records the result of an execution.
func (l *executionLog) end(index, status int, crashed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index < 0 {
		return
	}
	l.executions[index].Status = status
	l.executions[index].Crashed = crashed
	l.executions[index].EndUs = now.UnixMicro()
}

// snapshot returns a copy of the executions so far and the number of those that
// were dropped because the log was full.
func (l *executionLog) snapshot() ([]Execution, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...), l.dropped
}
