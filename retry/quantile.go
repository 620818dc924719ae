package retry

import "time"

const (
	// quantileStep is the fraction by which a latency below the estimate lowers
	// it.
	quantileStep = 0.02
	// quantileSamples is the number of latencies required before the estimate is
	// used.
	quantileSamples = 50
)

// quantile estimates a quantile of the latencies with constant memory, in steps
// proportional to the estimate (after Ma, Muthukrishnan and Sandler, Frugal
// Streaming for Estimating Quantiles, 2013).
type quantile struct {
	fraction   float64 // 0.95 for the 95th percentile
	estimateNs float64
	samples    int
}

// observe updates the estimate with a latency.
func (q *quantile) observe(latency time.Duration) {
	x := max(float64(latency), 1)
	q.samples = min(q.samples+1, quantileSamples)
	if q.samples == 1 {
		q.estimateNs = x
		return
	}
	if x > q.estimateNs {
		q.estimateNs *= 1 + quantileStep*q.fraction/(1-q.fraction)
		q.estimateNs = min(q.estimateNs, x)
		return
	}
	q.estimateNs *= 1 - quantileStep
}

// get returns the estimate; ok is false until quantileSamples were observed.
func (q *quantile) get() (latency time.Duration, ok bool) {
	return time.Duration(q.estimateNs), q.samples == quantileSamples
}
