package soak

import (
	"fmt"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

// coldBound limits the requests and probes that arrive at a cold upstream within a second.
const coldBound = workerColdPerSecond*platformtest.ColdExcess + platformtest.ColdSlack

// addCold records what arrived at one upstream while it was cold.
func (h *history) addCold(total, inSecond int) {
	h.coldArrivals += total
	h.coldMost = max(h.coldMost, inSecond)
}

// checkCold checks that no cold upstream was sent more than the bound.
func (h *history) checkCold() []Violation {
	if float64(h.coldMost) <= coldBound {
		return nil
	}
	return []Violation{{Promise: ColdSpared, Detail: fmt.Sprintf(
		"%d requests and probes arrived at a cold upstream within a second, at most %g are allowed", h.coldMost, coldBound)}}
}
