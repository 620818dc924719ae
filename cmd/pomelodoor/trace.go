package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"pomelodoor.example/pomelodoor/trace"
)

var errNoMatch = errors.New("no matching log line")

type traceCommand struct {
	Request  string    `arg:"--request,-r" placeholder:"ID" help:"the caller's name of a request, or a daemon's name of a call"`
	Upstream string    `arg:"--upstream" placeholder:"NAME" help:"an upstream or an instance"`
	Since    time.Time `arg:"--since" placeholder:"TIME" help:"leave out what is older, as in 2026-12-04T10:00:00Z"`
	JSON     bool      `arg:"--json" help:"print JSON lines"`
	Files    []string  `arg:"positional" placeholder:"LOG" help:"logs of daemons; none or - is standard input, in which a name may stand before each line"`
}

// run prints the timeline of a request. It is an error if no line matches.
func (c *traceCommand) run(out io.Writer) error {
	q := trace.Query{ID: c.Request, Upstream: c.Upstream, Since: c.Since}
	var l trace.Log
	if len(c.Files) == 0 {
		c.Files = []string{"-"}
	}
	for _, name := range c.Files {
		if err := readLog(&l, name, q); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
	}
	timeline := l.Timeline()
	for _, e := range timeline {
		if err := c.print(out, e); err != nil {
			return fmt.Errorf("print timeline: %w", err)
		}
	}
	if n := l.Skipped(); n > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "%d lines could not be read\n", n)
	}
	if len(timeline) == 0 {
		return errNoMatch
	}
	return nil
}

func readLog(l *trace.Log, name string, q trace.Query) error {
	if name == "-" {
		return l.Read("", os.Stdin, q)
	}
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	return l.Read(name, file, q)
}

func (c *traceCommand) print(out io.Writer, e trace.Entry) error {
	if !c.JSON {
		_, err := fmt.Fprintln(out, e)
		return err
	}
	return json.NewEncoder(out).Encode(map[string]any{
		"time": e.At(), "shiftMs": float64(e.Shift) / float64(time.Millisecond), "source": e.Source, "prefix": e.Prefix,
		"text": e.Text, "id": e.ID, "call": e.Call, "fields": e.Fields,
	})
}
