package measure

import (
	"encoding/json"
	"errors"
	"fmt"
)

// State is what an upstream says about itself.
type State string

// The states of an upstream's load endpoint.
const (
	Serving  State = "serving"
	Draining State = "draining"
	Cold     State = "cold"
)

// Reading is the answer of an upstream's load endpoint. It may lag or mislead:
// the daemon knows the calls in flight better from its own count.
type Reading struct {
	State    State `json:"state"`
	InFlight int   `json:"inFlight"`
	Slots    int   `json:"slots"`
	// Queued counts the calls that wait at the upstream itself.
	Queued int `json:"queued"`
	// PacePercent is how long work takes at this moment, 100 being usual and 0
	// not known.
	PacePercent int `json:"pacePercent"`
	// Upstream names the life of the upstream that answered, where it tells.
	Upstream string `json:"upstream,omitempty"`
}

// ErrReading is returned for an answer that makes no sense.
var ErrReading = errors.New("bad load answer")

// ParseReading reads the answer of GET /load. Members that it does not know
// are ignored. Errors wrap ErrReading.
func ParseReading(body []byte) (Reading, error) {
	var r Reading
	if err := json.Unmarshal(body, &r); err != nil {
		return Reading{}, fmt.Errorf("parse load answer: %w: %w", ErrReading, err)
	}
	switch r.State {
	case Serving, Draining, Cold:
	default:
		return Reading{}, fmt.Errorf("unknown state %.20q: %w", string(r.State), ErrReading)
	}
	if r.InFlight < 0 || r.Slots < 0 {
		return Reading{}, fmt.Errorf("negative number: %w", ErrReading)
	}
	return r, nil
}
