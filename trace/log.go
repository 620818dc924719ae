package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ErrQuery means that a query selects neither a request nor an upstream.
var ErrQuery = errors.New("trace: no request or upstream selected")

// Query selects entries.
type Query struct {
	// ID is the caller's ID of a request or a daemon's ID of a call. Requests
	// whose ID is this one followed by a dot are included: those that the request
	// caused.
	ID string
	// Upstream is the ID of an upstream or of an instance.
	Upstream string
	// Since excludes older entries if it is not zero.
	Since time.Time
}

// Check returns ErrQuery if the query selects neither a request nor an upstream.
func (q Query) Check() error {
	if q.ID == "" && q.Upstream == "" {
		return ErrQuery
	}
	return nil
}

// matches reports whether the query selects an entry.
func (q Query) matches(e Entry) bool {
	switch {
	case e.Time.Before(q.Since):
		return false
	case q.ID != "" && !q.matchesRequest(e):
		return false
	case q.Upstream != "" && e.Fields["upstream"] != q.Upstream && e.Fields["instance"] != q.Upstream:
		return false
	}
	return true
}

// matchesRequest reports whether an entry belongs to the selected request.
func (q Query) matchesRequest(e Entry) bool {
	call, _, _ := strings.Cut(e.Call, "-")
	return e.ID == q.ID || strings.HasPrefix(e.ID, q.ID+".") || e.Call == q.ID || call == q.ID
}

// Log holds the selected entries of any number of logs.
type Log struct {
	entries []Entry
	skipped int
}

// Read adds the selected entries of one log. With an empty name, the source of each
// entry is the name before its line. It returns ErrQuery for an empty query, and an
// error if reading fails or a line is longer than maxLineBytes.
func (l *Log) Read(name string, r io.Reader, q Query) error {
	if err := q.Check(); err != nil {
		return err
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		e, err := parse(name, lines.Bytes())
		switch {
		case err != nil:
			l.skipped++
		case q.matches(e):
			l.entries = append(l.entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

// Skipped returns the number of lines that could not be parsed.
func (l *Log) Skipped() int { return l.skipped }

// Timeline returns the entries in order of time, on the clock of the daemon that
// received the request from the caller.
func (l *Log) Timeline() []Entry {
	out := slices.Clone(l.entries)
	shifts := clockShifts(out)
	for i := range out {
		out[i].Shift = shifts[out[i].Source]
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.At().Compare(b.At()) })
	return out
}
