package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// errLine means that a line is none of a daemon's log.
var errLine = errors.New("trace: no line of a log")

// The members of a line that stand apart from its other fields.
const (
	memberTime   = "time"
	memberLevel  = "level"
	memberPrefix = "prefix"
	memberText   = "msg"
	memberID     = "id"
	memberCall   = "call"
)

// Entry is one line of a daemon's log.
type Entry struct {
	// Time is by the daemon's own clock, and Shift what is added to it.
	Time  time.Time
	Shift time.Duration
	// Source names the log.
	Source string
	// Prefix is the part that speaks, and Text what it says.
	Prefix string
	Text   string
	// ID is the caller's name of the request, and Call the daemons' own, with the
	// number of the attempt where there is one.
	ID   string
	Call string
	// Fields are the others, by name.
	Fields map[string]any
}

// parse reads one line. What stands before the object is passed over: collectors
// put a time and a name there.
func parse(source string, line []byte) (Entry, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, errLine
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", errLine, err)
	}
	e := Entry{Source: source, Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, e.take(memberTime))
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", errLine, err)
	}
	e.Time, e.Prefix, e.Text = at, e.take(memberPrefix), e.take(memberText)
	e.ID, e.Call = e.take(memberID), e.take(memberCall)
	e.take(memberLevel)
	if e.Text == "" {
		return Entry{}, errLine
	}
	if name := strings.Fields(string(line[:start])); len(name) > 0 && source == "" {
		e.Source = name[len(name)-1]
	}
	return e, nil
}

// take takes a text out of the fields.
func (e *Entry) take(name string) string {
	text, _ := e.Fields[name].(string)
	delete(e.Fields, name)
	return text
}

// At is the time on the one clock of a story.
func (e Entry) At() time.Time { return e.Time.Add(e.Shift) }

// attempt returns the call without the mark of having been handed on.
func (e Entry) attempt() string { return strings.TrimRight(e.Call, handedOn) }

// handedOn is what a daemon adds to a call that it hands on.
const handedOn = "h"

// String returns the entry as one line of a story.
func (e Entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-18s %-10s %s", e.At().Format("15:04:05.000"), e.Source, e.Prefix, e.Text)
	if e.Call != "" {
		fmt.Fprintf(&b, " call=%s", e.Call)
	}
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, e.Fields[name])
	}
	return b.String()
}
