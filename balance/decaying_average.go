package balance

import "time"

// decayingAverage is a weighted average that decays to zero without new samples.
type decayingAverage struct {
	value float64
	// at is the time of the last sample.
	at time.Time
}

// decayed returns the average at now. It decays by 63 % in timeConstant.
func (a *decayingAverage) decayed(timeConstant time.Duration, now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * decay(now.Sub(a.at), timeConstant)
}

// add moves the decayed average towards sample by the fraction weight.
func (a *decayingAverage) add(sample, weight float64, timeConstant time.Duration, now time.Time) {
	value := a.decayed(timeConstant, now)
	a.value, a.at = value+weight*(sample-value), now
}
