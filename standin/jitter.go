package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// jitterSigma is the standard deviation of the logarithm of service times.
const jitterSigma = 0.4

// jitter generates random service times.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed))}
}

// duration returns a random duration from a log-normal distribution with the
// given mean.
func (j *jitter) duration(mean time.Duration) time.Duration {
	j.mu.Lock()
	normal := j.rng.NormFloat64()
	j.mu.Unlock()
	return time.Duration(float64(mean) * math.Exp(jitterSigma*normal-jitterSigma*jitterSigma/2))
}
