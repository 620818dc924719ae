package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// State is the state that an upstream reports.
type State string

// The states that the load endpoint of an upstream reports.
const (
	Serving  State = "serving"
	Draining State = "draining"
	Cold     State = "cold"
)

// Warmth is what an upstream says about being cold, besides its State.
type Warmth string

// The values of Warmth.
const (
	// WarmthUnknown means that the response cannot be used.
	WarmthUnknown Warmth = ""
	// WarmthUnstated means that a valid response does not say it.
	WarmthUnstated Warmth = "unstated"
	Warm           Warmth = "warm"
	NotWarm        Warmth = "notWarm"
)

// Reading is the response of an upstream's load endpoint. It may be outdated or
// wrong: the daemon's own count of calls in flight is more accurate.
type Reading struct {
	State    State `json:"state"`
	InFlight int   `json:"inFlight"`
	Slots    int   `json:"slots"`
	// Queued is the number of calls in the upstream's own queue.
	Queued int `json:"queued"`
	// PacePercent is the current pace: the processing time in percent of
	// nominal. 0 means unknown.
	PacePercent int `json:"pacePercent"`
	// UpstreamIncarnation names the incarnation of the upstream that responded, if it
	// reports one.
	UpstreamIncarnation string `json:"upstream,omitempty"`
	// Warmth is set only by the users' platform. If it is NotWarm, ColdLeft is how much
	// longer the upstream is cold.
	Warmth   Warmth        `json:"-"`
	ColdLeft time.Duration `json:"-"`
}

// ErrReading is returned for an invalid response.
var ErrReading = errors.New("invalid load response")

// ParseReading decodes the response to GET /load. Unknown fields are ignored.
// Errors wrap ErrReading.
func ParseReading(body []byte) (Reading, error) {
	var r Reading
	if err := json.Unmarshal(body, &r); err != nil {
		return Reading{}, fmt.Errorf("parse load response: %w: %w", ErrReading, err)
	}
	switch r.State {
	case Serving, Draining, Cold:
	default:
		return Reading{}, fmt.Errorf("parse load response: unknown state %.20q: %w", string(r.State), ErrReading)
	}
	if min(r.InFlight, r.Slots, r.Queued, r.PacePercent) < 0 {
		return Reading{}, fmt.Errorf("parse load response: a negative number: %w", ErrReading)
	}
	return r, nil
}
