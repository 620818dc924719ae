package peer_test

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/memory"
	"pomelodoor.example/pomelodoor/peer"
)

// TestTooManyConnections guards against connections and incomplete messages without limit, and
// against limits that end the connections which bring messages.
func TestTooManyConnections(t *testing.T) {
	const others = 40
	tests := map[string]peer.Config{
		"connections":         {MaxConns: 10},
		"incomplete messages": {MaxBufferedBytes: 300_000},
		"memory":              {Hold: memory.NewAccount(1 << 20).Open(memory.Daemons)},
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			cfg.Listen = ln.Addr().String()
			_ = ln.Close()
			got := make(chan peer.Envelope, 100)
			cfg.Handle = func(m peer.Envelope) { got <- m }
			endpoint, err := peer.Start(cfg)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = endpoint.Stop() })
			sender, _, _ := start(t)
			incomplete := append(binary.AppendUvarint(nil, 100_000), make([]byte, 90_000)...)
			for range others {
				sender.Send(cfg.Listen, peer.Envelope{Kind: "load"})
				next(t, got)
				c, err := net.Dial("tcp", cfg.Listen)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				_, _ = c.Write(incomplete)
			}
			if dropped := sender.Dropped(); dropped > 0 {
				t.Errorf("%d messages were dropped, want none", dropped)
			}
			// The connections are accepted on a thread of their own.
			for range 100 {
				if endpoint.Ended() >= others/2 {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			if ended := endpoint.Ended(); ended < others/2 {
				t.Errorf("%d of %d connections were ended, want at least half", ended, others)
			}
		})
	}
}
