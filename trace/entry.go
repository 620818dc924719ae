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

// errNotLogLine means that a line is not from the log of a daemon.
var errNotLogLine = errors.New("trace: not a log line")

// The keys of a log line that are not kept in Entry.Fields.
const (
	keyTime   = "time"
	keyLevel  = "level"
	keyPrefix = "prefix"
	keyText   = "msg"
	keyID     = "id"
	keyCall   = "call"
)

// Entry is a line of a daemon's log.
type Entry struct {
	// Time is the time on the daemon's clock. Shift is the correction that At
	// adds to it.
	Time  time.Time
	Shift time.Duration
	// Source names the log.
	Source string
	// Prefix is the part of the daemon that logged the line, and Text is the
	// message.
	Prefix string
	Text   string
	// ID is the caller's ID of the request. Call is the daemons' ID of it,
	// followed by the number of the attempt if there is one.
	ID   string
	Call string
	// Fields holds all other fields by name.
	Fields map[string]any
}

// parse parses one line. It skips the text before the JSON object, where collectors
// put a time and a name; without a source, the last field there becomes the source.
func parse(source string, line []byte) (Entry, error) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, errNotLogLine
	}
	var fields map[string]any
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	e := Entry{Source: source, Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, e.take(keyTime))
	if err != nil {
		return Entry{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	e.Time, e.Prefix, e.Text = at, e.take(keyPrefix), e.take(keyText)
	e.ID, e.Call = e.take(keyID), e.take(keyCall)
	e.take(keyLevel)
	if e.Text == "" {
		return Entry{}, errNotLogLine
	}
	if name := strings.Fields(string(line[:start])); len(name) > 0 && source == "" {
		e.Source = name[len(name)-1]
	}
	return e, nil
}

// take removes a string from the fields and returns it.
func (e *Entry) take(name string) string {
	text, _ := e.Fields[name].(string)
	delete(e.Fields, name)
	return text
}

// At returns the time on the common clock of a timeline.
func (e Entry) At() time.Time { return e.Time.Add(e.Shift) }

// attempt returns Call without handOnSuffix.
func (e Entry) attempt() string { return strings.TrimRight(e.Call, handOnSuffix) }

// handOnSuffix is what a daemon appends to the ID of a call that it forwards to a
// sibling.
const handOnSuffix = "h"

// String returns the entry as one line of a timeline.
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
