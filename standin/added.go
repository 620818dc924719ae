package standin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ErrNoAnswer is returned when a measurement meets a request without a whole
// answer.
var ErrNoAnswer = errors.New("no whole answer")

// warmUpPairs are sent before measuring, so that connections are open.
const warmUpPairs = 50

// AddedConfig configures a measurement of what a path adds to a call.
type AddedConfig struct {
	Service string
	// Direct is the worker's address, and Via that of a daemon from which the
	// worker is reached.
	Direct, Via string
	// Pairs of requests are sent, one directly and one by the path, with Pause
	// between them. A second direct one follows, for comparison.
	Pairs int
	Pause time.Duration
}

// Added is the result in microseconds.
type Added struct {
	// Direct and Via are whole times.
	Direct, Via *hdrhistogram.Histogram
	// Extra is what the path added in each pair: the difference of the times
	// that the requests spent outside the worker. Negative ones count as 0.
	Extra *hdrhistogram.Histogram
	// Noise is the same difference between two direct requests.
	Noise *hdrhistogram.Histogram
}

// MeasureAdded alternates a direct lookup and one by the path, and compares
// them in pairs. The service time, which the worker reports, is taken off, so
// that its jitter does not stand in the difference.
func MeasureAdded(ctx context.Context, cfg AddedConfig) (Added, error) {
	out := Added{Direct: NewLatency(), Via: NewLatency(), Extra: NewLatency(), Noise: NewLatency()}
	direct, err := NewCaller(CallerConfig{Service: cfg.Service, Targets: []string{cfg.Direct}, Direct: true})
	if err != nil {
		return out, fmt.Errorf("measure added time: %w", err)
	}
	defer direct.Close()
	via, err := NewCaller(CallerConfig{Service: cfg.Service, Targets: []string{cfg.Via}})
	if err != nil {
		return out, fmt.Errorf("measure added time: %w", err)
	}
	defer via.Close()
	for i := range warmUpPairs + cfg.Pairs {
		r := Request{Token: fmt.Sprintf("added-%d", i), Method: "GET", Path: "/history", Answer: 4 << 10, Deadline: defaultDeadline}
		round := [3]Exchange{direct.Send(cfg.Direct, r, 0), via.Send(cfg.Via, r, 1), direct.Send(cfg.Direct, r, 2)}
		for _, x := range round {
			if x.Verdict != Fine {
				return out, fmt.Errorf("round %d: %+v: %w", i, x, ErrNoAnswer)
			}
		}
		if i >= warmUpPairs {
			out.add(round[0], round[1], round[2])
		}
		if !sleepUntil(ctx, time.Now().Add(cfg.Pause)) {
			return out, ctx.Err()
		}
	}
	return out, nil
}

// add notes one round.
func (a Added) add(direct, via, again Exchange) {
	_ = a.Direct.RecordValue(direct.EndUs - direct.StartUs)
	_ = a.Via.RecordValue(via.EndUs - via.StartUs)
	_ = a.Extra.RecordValue(max(0, via.outside()-direct.outside()))
	_ = a.Noise.RecordValue(max(0, again.outside()-direct.outside()))
}

// outside returns how long an exchange took without its time at the worker, in
// microseconds.
func (x Exchange) outside() int64 { return x.EndUs - x.StartUs - x.HeldUs }
