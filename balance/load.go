package balance

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// State is the state of an upstream, as reported by its local daemon.
type State string

// The states of an upstream.
const (
	Serving  State = "serving"
	Cold     State = "cold"
	Draining State = "draining"
	Down     State = "down"
)

// Load is a daemon's load report for its local upstream.
type Load struct {
	// State reports whether the upstream takes calls.
	State State
	// InFlight counts the calls that hold a slot.
	InFlight int
	// Queued counts the calls that wait for a slot.
	Queued int
	// Slots is the number of calls that the upstream runs at once; 0 if unknown.
	Slots int
	// ServiceTime is the average time that a call holds its slot; 0 if unknown.
	ServiceTime time.Duration
	// FailPercent is the share of recent calls that failed, 0 to 100.
	FailPercent int
	// Age is the age of the data when the report was sent.
	Age time.Duration
	// Pace is the current processing time in percent of nominal; 0 if unknown.
	Pace int
}

// ErrLoad is returned for a load report that cannot be parsed.
var ErrLoad = errors.New("malformed load report")

const (
	loadFields    = 7
	maxLoadBytes  = 80
	maxLoadNumber = 1_000_000_000
)

// Append appends the text form to b: state, calls in flight, queued calls, slots,
// service time in microseconds, percentage of failed calls, age in microseconds
// and, if known, pace in percent, separated by commas. Durations are truncated to
// whole microseconds.
func (l Load) Append(b []byte) []byte {
	b = append(b, l.State...)
	numbers := [...]int64{
		int64(l.InFlight), int64(l.Queued), int64(l.Slots),
		l.ServiceTime.Microseconds(), int64(l.FailPercent), l.Age.Microseconds(),
	}
	for _, n := range numbers {
		b = append(b, ',')
		b = strconv.AppendInt(b, min(max(n, 0), maxLoadNumber), 10)
	}
	if l.Pace > 0 {
		b = append(b, ',')
		b = strconv.AppendInt(b, min(int64(l.Pace), maxLoadNumber), 10)
	}
	return b
}

// ParseLoad parses the text form that Append writes. It returns an error that
// wraps ErrLoad if a field is missing, unknown, too large or not in plain digits.
func ParseLoad(b []byte) (Load, error) {
	if len(b) > maxLoadBytes {
		return Load{}, fmt.Errorf("parse %d bytes: %w", len(b), ErrLoad)
	}
	stateText, rest, _ := bytes.Cut(b, []byte{','})
	state, ok := parseState(stateText)
	if !ok {
		return Load{}, fmt.Errorf("parse state: %w", ErrLoad)
	}
	if fields, pace, ok := cutLast(rest, loadFields-1); ok {
		l, err := ParseLoad(append(append([]byte(state), ','), fields...))
		n, valid := parseNumber(pace)
		if err != nil || !valid || n == 0 {
			return Load{}, fmt.Errorf("parse pace: %w", ErrLoad)
		}
		l.Pace = int(n)
		return l, nil
	}
	var numbers [loadFields - 1]int64
	for i := range numbers {
		var field []byte
		more := i < len(numbers)-1
		field, rest, ok = bytes.Cut(rest, []byte{','})
		n, valid := parseNumber(field)
		if ok != more || !valid {
			return Load{}, fmt.Errorf("parse field %d: %w", i+1, ErrLoad)
		}
		numbers[i] = n
	}
	if numbers[4] > 100 {
		return Load{}, fmt.Errorf("parse failure percentage: %w", ErrLoad)
	}
	return Load{
		State:       state,
		InFlight:    int(numbers[0]),
		Queued:      int(numbers[1]),
		Slots:       int(numbers[2]),
		ServiceTime: time.Duration(numbers[3]) * time.Microsecond,
		FailPercent: int(numbers[4]),
		Age:         time.Duration(numbers[5]) * time.Microsecond,
	}, nil
}

// cutLast splits off the last field if b has exactly n+1 fields.
func cutLast(b []byte, n int) (before, last []byte, ok bool) {
	if bytes.Count(b, []byte{','}) != n {
		return nil, nil, false
	}
	at := bytes.LastIndexByte(b, ',')
	return b[:at], b[at+1:], true
}

func parseState(b []byte) (State, bool) {
	for _, state := range [...]State{Serving, Cold, Draining, Down} {
		if string(b) == string(state) {
			return state, true
		}
	}
	return "", false
}

func parseNumber(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > 10 || (len(b) > 1 && b[0] == '0') {
		return 0, false
	}
	var n int64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, n <= maxLoadNumber
}
