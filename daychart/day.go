package daychart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// ErrInvalidReport is returned for input that is not a valid bench report.
var ErrInvalidReport = errors.New("daychart: invalid bench report")

// Day holds the results of one version on one day of the bench.
type Day struct {
	// Name is the version's label in the chart.
	Name    string
	Windows []Window
}

// Window holds the results of a few seconds of a day.
type Window struct {
	// StartSeconds is the start of the window, in seconds since the start of
	// the day.
	StartSeconds float64
	// Worth is the earned share of the maximum value of the requests, 0 to 1.
	Worth float64
	// P50 and P99 are latency percentiles of the served requests.
	P50, P99 time.Duration
}

// reportFile is the part of a bench report that Read uses.
type reportFile struct {
	Windows []struct {
		Name  string   `json:"name"`
		Worth *float64 `json:"worth"`
		P50   float64  `json:"p50_ms"`
		P99   float64  `json:"p99_ms"`
	} `json:"windows"`
}

// Read parses the bench report of a day, as written by `fleetbench run
// --report`. Its errors wrap ErrInvalidReport.
func Read(name string, r io.Reader) (Day, error) {
	var file reportFile
	if err := json.NewDecoder(r).Decode(&file); err != nil {
		return Day{}, fmt.Errorf("%w: %w", ErrInvalidReport, err)
	}
	if len(file.Windows) == 0 {
		return Day{}, fmt.Errorf("%w: no windows", ErrInvalidReport)
	}
	day := Day{Name: name}
	for _, w := range file.Windows {
		startSeconds, err := strconv.ParseFloat(w.Name, 64)
		if err != nil || w.Worth == nil {
			return Day{}, fmt.Errorf("%w: window %q: name is not a number of seconds or worth is missing", ErrInvalidReport, w.Name)
		}
		day.Windows = append(day.Windows, Window{StartSeconds: startSeconds, Worth: *w.Worth, P50: fromMilliseconds(w.P50), P99: fromMilliseconds(w.P99)})
	}
	return day, nil
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
