package retry

import "time"

const (
	// quantileStep is the share by which one latency moves the estimate.
	quantileStep = 0.02
	// quantileSamples is the number of latencies before the estimate is used.
	quantileSamples = 50
)

// quantile follows a quantile of the latencies with constant memory, by steps
// in proportion to the estimate (after Ma, Muthukrishnan and Sandler, Frugal
// Streaming for Estimating Quantiles, 2013).
type quantile struct {
	share   float64 // 0.95 for the 95th percentile
	value   float64 // nanoseconds
	samples int
}

// observe counts one latency.
func (q *quantile) observe(latency time.Duration) {
	x := max(float64(latency), 1)
	q.samples = min(q.samples+1, quantileSamples)
	if q.samples == 1 {
		q.value = x
		return
	}
	if x > q.value {
		q.value *= 1 + quantileStep*q.share/(1-q.share)
		q.value = min(q.value, x)
		return
	}
	q.value *= 1 - quantileStep
}

// get returns the estimate; ok is false while too little is known.
func (q *quantile) get() (latency time.Duration, ok bool) {
	return time.Duration(q.value), q.samples == quantileSamples
}
