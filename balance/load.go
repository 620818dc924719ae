package balance

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// State is what a daemon says about its own upstream.
type State string

// The states of an upstream.
const (
	Serving  State = "serving"
	Cold     State = "cold"
	Draining State = "draining"
	Down     State = "down"
)

// Load is one daemon's report about its own upstream.
type Load struct {
	// State says whether the upstream takes calls.
	State State
	// InFlight counts the calls that hold a slot.
	InFlight int
	// Queued counts the calls that wait for a slot.
	Queued int
	// Slots is the number of calls that the upstream runs at once, 0 if not
	// known.
	Slots int
	// ServiceTime is the usual time a call holds its slot, 0 if not known.
	ServiceTime time.Duration
	// FailPercent is the share of recent calls that failed, 0 to 100.
	FailPercent int
	// Age is how old the figures were when they were sent.
	Age time.Duration
	// Pace is how long work takes at the upstream at this moment, in percent of
	// the usual; 0 when not known.
	Pace int
}

// ErrLoad is returned for a load report that cannot be read.
var ErrLoad = errors.New("malformed load report")

const (
	loadFields    = 7
	maxLoadLength = 80
	maxLoadNumber = 1_000_000_000
)

// Append adds the text form to b: state, in flight, queued, slots, service
// time in microseconds, failed per cent, age in microseconds and the pace in per
// cent where it is known, with commas between. Durations lose what is below a microsecond.
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

// ParseLoad reads the text form of Append. It returns an error that wraps
// ErrLoad when a field is missing, unknown, too large or not in plain digits.
func ParseLoad(b []byte) (Load, error) {
	if len(b) > maxLoadLength {
		return Load{}, fmt.Errorf("read %d bytes: %w", len(b), ErrLoad)
	}
	word, rest, _ := bytes.Cut(b, []byte{','})
	state, ok := parseState(word)
	if !ok {
		return Load{}, fmt.Errorf("read state: %w", ErrLoad)
	}
	if word, pace, ok := cutLast(rest, loadFields-1); ok {
		l, err := ParseLoad(append(append([]byte(state), ','), word...))
		n, valid := parseNumber(pace)
		if err != nil || !valid || n == 0 {
			return Load{}, fmt.Errorf("read pace: %w", ErrLoad)
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
			return Load{}, fmt.Errorf("read field %d: %w", i+1, ErrLoad)
		}
		numbers[i] = n
	}
	if numbers[4] > 100 {
		return Load{}, fmt.Errorf("read failed per cent: %w", ErrLoad)
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

// cutLast cuts off what follows the first n fields, if that is one field more.
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
