package memory_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/memory"
)

var start = time.Unix(1_800_000_000, 0)

// open opens a connection that must have room.
func open(t *testing.T, conns *memory.Connections, now time.Time) *memory.Conn {
	t.Helper()
	c, end := conns.Open(now)
	if c == nil || end != nil {
		t.Fatalf("a connection was not opened, or another one had to end: %v, %v", c, end)
	}
	return c
}

// TestConnectionToEnd guards against new connections that are refused while others do nothing,
// and against the end of one that a request or its progress needs.
func TestConnectionToEnd(t *testing.T) {
	now := start.Add(time.Minute)
	old := func(c *memory.Conn, conns *memory.Connections) { conns.Done(c, start) }
	reading := func(at time.Time) func(*memory.Conn, *memory.Connections) {
		return func(c *memory.Conn, conns *memory.Connections) {
			conns.Begin(c, at)
			conns.ReadBody(c, at)
		}
	}
	running := func(c *memory.Conn, conns *memory.Connections) { conns.Begin(c, start) }
	writing := func(at time.Time) func(*memory.Conn, *memory.Connections) {
		return func(c *memory.Conn, conns *memory.Connections) {
			conns.Begin(c, at)
			conns.Answer(c, at)
		}
	}
	waiting := func(*memory.Conn, *memory.Connections) {}
	tests := map[string]struct {
		conns []func(*memory.Conn, *memory.Connections)
		// want is the index of the connection to end, or -1.
		want int
	}{
		"the first that sends no request":      {[]func(*memory.Conn, *memory.Connections){old, waiting, waiting}, 1},
		"an idle one before a stalled body":    {[]func(*memory.Conn, *memory.Connections){reading(start), old, running}, 1},
		"a stalled body":                       {[]func(*memory.Conn, *memory.Connections){running, reading(start), reading(now)}, 1},
		"an answer that is not read":           {[]func(*memory.Conn, *memory.Connections){running, writing(now), writing(start)}, 2},
		"none with progress or a running call": {[]func(*memory.Conn, *memory.Connections){running, reading(now), writing(now)}, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conns := memory.NewConnections(memory.NewAccount(64*mB), memory.Callers, len(test.conns))
			var all []*memory.Conn
			for _, prepare := range test.conns {
				c := open(t, conns, start)
				prepare(c, conns)
				all = append(all, c)
			}
			opened, end := conns.Open(now)
			if (opened != nil) != (test.want >= 0) {
				t.Fatalf("opened: %v, want %v", opened != nil, test.want >= 0)
			}
			for i, c := range all {
				if (c == end) != (i == test.want) {
					t.Errorf("connection %d ends: %v, want %v", i, c == end, i == test.want)
				}
			}
			if end != nil && conns.Begin(end, now) {
				t.Error("a request begins on a connection that is being ended")
			}
		})
	}
}

// TestEndStalled guards against stalled bodies that keep their room under pressure, and against
// the end of bodies without pressure or with progress.
func TestEndStalled(t *testing.T) {
	account := memory.NewAccount(64 * mB)
	conns := memory.NewConnections(account, memory.Callers, 1000)
	var all []*memory.Conn
	for i := 0; ; i++ {
		at := start.Add(time.Duration(i) * time.Millisecond)
		c := open(t, conns, at)
		conns.Begin(c, at)
		conns.ReadBody(c, at)
		if !c.Request().Reserve(memory.Bodies, mB) {
			conns.Close(c)
			break
		}
		all = append(all, c)
		if i == 10 {
			if ended := conns.EndStalled(at.Add(10 * time.Second)); len(ended) > 0 {
				t.Fatalf("%d bodies end without pressure, want none", len(ended))
			}
		}
	}
	now := start.Add(5 * time.Second)
	conns.Progress(all[0], now)
	ended := conns.EndStalled(now)
	if len(ended) == 0 || len(ended) > len(all)/2 {
		t.Fatalf("%d of %d bodies end, want some, and at most half", len(ended), len(all))
	}
	for i, c := range ended {
		if c != all[i+1] {
			t.Fatalf("the bodies do not end in the order of their progress (at %d)", i)
		}
		if conns.BodyRead(c) {
			t.Fatal("the body of an ended connection counts as complete")
		}
		conns.Close(c)
	}
	if again := conns.EndStalled(now.Add(10 * time.Second)); len(again) > 0 {
		t.Errorf("%d more bodies end after the pressure has gone, want none", len(again))
	}
	for _, c := range all {
		conns.Close(c)
	}
	if used := account.Status().Used; used != 0 {
		t.Errorf("%d bytes are in use after all connections closed, want 0", used)
	}
}

// TestUnreadAnswer guards against answers that are kept forever for a caller that does not
// read them, and against the end of one that takes long but makes progress.
func TestUnreadAnswer(t *testing.T) {
	conns := memory.NewConnections(memory.NewAccount(64*mB), memory.Callers, 10)
	unread, slow := open(t, conns, start), open(t, conns, start)
	for _, c := range []*memory.Conn{unread, slow} {
		conns.Begin(c, start)
		conns.Answer(c, start)
	}
	conns.Progress(slow, start.Add(memory.UnreadLimit/2))
	if ended := conns.EndStalled(start.Add(memory.UnreadLimit - time.Millisecond)); len(ended) > 0 {
		t.Fatalf("%d answers end too early", len(ended))
	}
	if ended := conns.EndStalled(start.Add(memory.UnreadLimit)); len(ended) != 1 || ended[0] != unread {
		t.Fatalf("%d answers end, want the one without progress", len(ended))
	}
}

// TestConnectionsLeaveMemory guards against connections that use up the account.
func TestConnectionsLeaveMemory(t *testing.T) {
	account := memory.NewAccount(8 * mB)
	conns := memory.NewConnections(account, memory.Callers, 1_000_000)
	for range conns.Limit() {
		open(t, conns, start)
	}
	if !account.Open(memory.Callers).Reserve(memory.Bodies, mB) {
		t.Error("there is no room for a body beside as many connections as are allowed")
	}
}
