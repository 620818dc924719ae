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

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// ErrQuery means that nothing was asked for.
var ErrQuery = errors.New("trace: no request and no upstream is asked for")

// Query says which entries are wanted.
type Query struct {
	// ID is the name of a request by its caller, or a daemon's name of a call.
	// Requests that its run makes are part of it where their names begin with it.
	ID string
	// Upstream is the name of an upstream or of an instance.
	Upstream string
	// Since leaves out what is older, when it is not zero.
	Since time.Time
}

// Check returns ErrQuery when nothing is asked for.
func (q Query) Check() error {
	if q.ID == "" && q.Upstream == "" {
		return ErrQuery
	}
	return nil
}

// wants reports whether an entry is asked for.
func (q Query) wants(e Entry) bool {
	switch {
	case e.Time.Before(q.Since):
		return false
	case q.ID != "" && !q.names(e):
		return false
	case q.Upstream != "" && e.Fields["upstream"] != q.Upstream && e.Fields["instance"] != q.Upstream:
		return false
	}
	return true
}

// names reports whether an entry is on the request that is asked for.
func (q Query) names(e Entry) bool {
	call, _, _ := strings.Cut(e.Call, "-")
	return e.ID == q.ID || strings.HasPrefix(e.ID, q.ID+".") || e.Call == q.ID || call == q.ID
}

// Log holds the entries that were asked for, out of any number of logs.
type Log struct {
	entries []Entry
	passed  int
}

// Read takes in one log. An empty name takes the names that stand before each
// line. Errors are those of the reader, and ErrQuery.
func (l *Log) Read(name string, r io.Reader, q Query) error {
	if err := q.Check(); err != nil {
		return err
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		e, err := parse(name, lines.Bytes())
		switch {
		case err != nil:
			l.passed++
		case q.wants(e):
			l.entries = append(l.entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// PassedOver returns the number of lines that could not be read.
func (l *Log) PassedOver() int { return l.passed }

// Story returns the entries in order of time, on the clock of the daemon that the
// caller reached.
func (l *Log) Story() []Entry {
	out := slices.Clone(l.entries)
	shifts := shifts(out)
	for i := range out {
		out[i].Shift = shifts[out[i].Source]
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return a.At().Compare(b.At()) })
	return out
}
