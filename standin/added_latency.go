package standin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ErrIncompleteResponse is returned when a request of a measurement gets no
// complete response.
var ErrIncompleteResponse = errors.New("no complete response")

// warmUpRounds is the number of rounds sent before measuring, to open the
// connections. A round is a direct request, one through Via and another direct one.
const warmUpRounds = 50

// AddedLatencyConfig configures a measurement of the latency that a path adds to a
// call.
type AddedLatencyConfig struct {
	Service string
	// Direct is the address of the worker, and Via the address of a daemon
	// that forwards to the worker.
	Direct, Via string
	// Pairs is the number of measured request pairs, each a direct request
	// and one through Via. A second direct request follows each pair to measure
	// the noise, and then a Pause.
	Pairs int
	Pause time.Duration
}

// AddedLatency holds the measured latencies in microseconds.
type AddedLatency struct {
	// Direct and Via are total latencies.
	Direct, Via *hdrhistogram.Histogram
	// Overhead is the latency added by the path in each pair: the difference
	// between the times that the two requests spent outside the worker.
	// Negative differences count as 0.
	Overhead *hdrhistogram.Histogram
	// Noise is the same difference between the two direct requests.
	Noise *hdrhistogram.Histogram
}

// MeasureAddedLatency alternates direct lookups and lookups through a daemon and
// compares them in pairs. It subtracts the time that the worker reports for each
// request, so that the jitter of the service time does not affect the difference.
func MeasureAddedLatency(ctx context.Context, cfg AddedLatencyConfig) (AddedLatency, error) {
	out := AddedLatency{Direct: NewLatencyHistogram(), Via: NewLatencyHistogram(), Overhead: NewLatencyHistogram(), Noise: NewLatencyHistogram()}
	direct, err := NewCaller(CallerConfig{Service: cfg.Service, Targets: []string{cfg.Direct}, Direct: true})
	if err != nil {
		return out, fmt.Errorf("measure added latency: %w", err)
	}
	defer direct.Close()
	via, err := NewCaller(CallerConfig{Service: cfg.Service, Targets: []string{cfg.Via}})
	if err != nil {
		return out, fmt.Errorf("measure added latency: %w", err)
	}
	defer via.Close()
	for i := range warmUpRounds + cfg.Pairs {
		r := Request{Token: fmt.Sprintf("added-%d", i), Method: "GET", Path: "/history", ResponseBytes: 4 << 10, Deadline: defaultDeadline}
		round := [3]Exchange{direct.Send(cfg.Direct, r, 0), via.Send(cfg.Via, r, 1), direct.Send(cfg.Direct, r, 2)}
		for _, x := range round {
			if x.Verdict != VerdictOK {
				return out, fmt.Errorf("measure added latency: round %d: %+v: %w", i, x, ErrIncompleteResponse)
			}
		}
		if i >= warmUpRounds {
			out.add(round[0], round[1], round[2])
		}
		if !sleepUntil(ctx, time.Now().Add(cfg.Pause)) {
			return out, ctx.Err()
		}
	}
	return out, nil
}

// add records one round.
func (a AddedLatency) add(direct, via, secondDirect Exchange) {
	_ = a.Direct.RecordValue(direct.EndUs - direct.StartUs)
	_ = a.Via.RecordValue(via.EndUs - via.StartUs)
	_ = a.Overhead.RecordValue(max(0, via.overheadUs()-direct.overheadUs()))
	_ = a.Noise.RecordValue(max(0, secondDirect.overheadUs()-direct.overheadUs()))
}

// overheadUs returns the time that the exchange spent outside the worker, in
// microseconds.
func (x Exchange) overheadUs() int64 { return x.EndUs - x.StartUs - x.HeldUs }
