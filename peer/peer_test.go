package peer_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/peer"
)

// start returns a running endpoint, its address, and the messages it receives.
func start(t testing.TB) (*peer.Endpoint, string, chan peer.Envelope) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	got := make(chan peer.Envelope, 10000)
	endpoint, err := peer.Start(peer.Config{Listen: address, Handle: func(m peer.Envelope) { got <- m }})
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() { _ = endpoint.Stop() })
	return endpoint, address, got
}

// next returns the next message.
func next(t testing.TB, got chan peer.Envelope) peer.Envelope {
	t.Helper()
	select {
	case m := <-got:
		return m
	case <-time.After(5 * time.Second):
		t.Fatal("got no message within 5 s")
		return peer.Envelope{}
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, _, _ := start(t)
	_, addressB, gotB := start(t)
	const messages = 200
	for i := range messages {
		a.Send(addressB, peer.Envelope{Kind: "load", From: "a", Incarnation: 7, To: "b", Body: json.RawMessage(fmt.Sprint(i))})
	}
	for i := range messages {
		m := next(t, gotB)
		if string(m.Body) != fmt.Sprint(i) || m.Kind != "load" || m.From != "a" || m.Incarnation != 7 || m.To != "b" {
			t.Fatalf("message %d: got %+v", i, m)
		}
	}
	if a.BytesOut() == 0 {
		t.Fatal("got 0 bytes sent, want more")
	}
}

func TestSendAfterReceiverRestart(t *testing.T) {
	a, _, _ := start(t)
	b, address, got := start(t)
	a.Send(address, peer.Envelope{Kind: "one"})
	next(t, got)
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	again := make(chan peer.Envelope, 100)
	b2, err := peer.Start(peer.Config{Listen: address, Handle: func(m peer.Envelope) { again <- m }})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b2.Stop() }()
	for range 50 {
		a.Send(address, peer.Envelope{Kind: "two"})
		select {
		case <-again:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Fatal("got no message after the restart of the receiver")
}

// TestBadInputClosesOnlyItsConnection sends invalid input on one connection. The messages
// on another connection must still arrive.
func TestBadInputClosesOnlyItsConnection(t *testing.T) {
	huge := binary.AppendUvarint(nil, 1<<40)
	cases := map[string][]byte{
		"oversized frame": append(huge, "{}"...),
		"empty frame":     {0},
		"endless varint":  []byte(strings.Repeat("\xff", 16)),
		"frame not JSON":  append([]byte{3}, "abc"...),
		"params missing":  frame(`{"jsonrpc":"2.0","method":"x"}`),
		"params a list":   frame(`{"jsonrpc":"2.0","method":"x","params":[1]}`),
	}
	a, _, _ := start(t)
	_, address, got := start(t)
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := c.Write(bytes); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
				t.Fatalf("got error %v, want a closed connection", err)
			}
			a.Send(address, peer.Envelope{Kind: "after"})
			if m := next(t, got); m.Kind != "after" {
				t.Fatalf("got message %+v, want kind after", m)
			}
		})
	}
}

// FuzzControlPort sends arbitrary bytes to the control port. The endpoint must keep
// serving other connections.
func FuzzControlPort(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add([]byte(strings.Repeat("\xff", 16)))
	f.Add(frame(`{"jsonrpc":"2.0","method":"load","params":{"from":"a","incarnation":1}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"load","params":{"from":"a"}}`))
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"result":{}}`))
	f.Add(append(frame(`{`), frame(`[]`)...))
	a, _, _ := start(f)
	_, address, got := start(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(data)
		_ = c.Close()
		a.Send(address, peer.Envelope{Kind: "alive", From: "fuzz"})
		for {
			if m := next(t, got); m.Kind == "alive" && m.From == "fuzz" {
				return
			}
		}
	})
}

func frame(text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}
