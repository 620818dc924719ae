package daychart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// ErrReport means that a file is no report of a day.
var ErrReport = errors.New("daychart: no report of a day")

// Day is what one version did on a day.
type Day struct {
	// Name tells the versions apart.
	Name    string
	Windows []Window
}

// Window is a few seconds of a day.
type Window struct {
	// From is the second at which it begins.
	From float64
	// Worth is the share of what the requests could earn, 0 to 1.
	Worth float64
	// P50 and P99 are latencies of the requests that were served.
	P50, P99 time.Duration
}

// reportFile is the part of the bench's report that is drawn.
type reportFile struct {
	Windows []struct {
		Name  string   `json:"name"`
		Worth *float64 `json:"worth"`
		P50   float64  `json:"p50_ms"`
		P99   float64  `json:"p99_ms"`
	} `json:"windows"`
}

// Read reads the report of a day, as `fleetbench run --report` writes it. Errors
// wrap ErrReport.
func Read(name string, r io.Reader) (Day, error) {
	var file reportFile
	if err := json.NewDecoder(r).Decode(&file); err != nil {
		return Day{}, fmt.Errorf("%w: %w", ErrReport, err)
	}
	if len(file.Windows) == 0 {
		return Day{}, fmt.Errorf("%w: it has no windows", ErrReport)
	}
	day := Day{Name: name}
	for _, w := range file.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil || w.Worth == nil {
			return Day{}, fmt.Errorf("%w: window %q has no second or no worth", ErrReport, w.Name)
		}
		day.Windows = append(day.Windows, Window{From: from, Worth: *w.Worth, P50: milliseconds(w.P50), P99: milliseconds(w.P99)})
	}
	return day, nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
