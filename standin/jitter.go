package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// jitterSigma is the standard deviation of the logarithm of service times.
const jitterSigma = 0.4

// jitter draws service times around their mean by a log-normal distribution.
type jitter struct {
	mu  sync.Mutex
	src *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{src: rand.New(rand.NewPCG(seed, seed))}
}

// around returns a duration with the given mean.
func (j *jitter) around(mean time.Duration) time.Duration {
	j.mu.Lock()
	normal := j.src.NormFloat64()
	j.mu.Unlock()
	return time.Duration(float64(mean) * math.Exp(jitterSigma*normal-jitterSigma*jitterSigma/2))
}
