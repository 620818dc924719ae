package standin

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEchoServer starts a server that echoes its input and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := Listen("", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Kill)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func newTestRelay(t *testing.T, link Link) (*Relay, net.Conn) {
	t.Helper()
	r, err := NewRelay(RelayConfig{Target: startEchoServer(t), Link: link, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return r, c
}

func TestRelayKeepsBytesInOrder(t *testing.T) {
	_, c := newTestRelay(t, Link{Delay: time.Millisecond, Jitter: 3 * time.Millisecond, Loss: 0.02})
	sent, _ := io.ReadAll(newFiller("relay", 1<<20))
	go func() {
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Errorf("got %d bytes, want the %d sent; error %v", len(got), len(sent), err)
	}
}

func TestRelayDelays(t *testing.T) {
	tests := map[string]struct {
		link    Link
		minTime time.Duration
		maxTime time.Duration
	}{
		"none":  {Link{}, 0, 50 * time.Millisecond},
		"delay": {Link{Delay: 20 * time.Millisecond}, 40 * time.Millisecond, 100 * time.Millisecond},
		"loss":  {Link{Loss: 1}, 400 * time.Millisecond, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, c := newTestRelay(t, tt.link)
			start := time.Now()
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took < tt.minTime || took > tt.maxTime {
				t.Errorf("echo took %v, want between minTime and maxTime", took)
			}
		})
	}
}

func TestRelayLinkFaults(t *testing.T) {
	r, c := newTestRelay(t, Link{})
	one := make([]byte, 1)
	r.Set(Link{Cut: LinkFaultBlackHole})
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read during LinkFaultBlackHole: got %v, want deadline exceeded", err)
	}
	r.Set(Link{})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(one); err != nil {
		t.Errorf("read after LinkFaultBlackHole: got %v, want no error", err)
	}
	r.Set(Link{Cut: LinkFaultReset})
	if _, err := c.Read(one); err == nil {
		t.Error("read during LinkFaultReset: got no error")
	}
	again, err := net.Dial("tcp", r.Addr())
	if err == nil {
		_ = again.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := again.Read(one); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read on a new connection during LinkFaultReset: got %v, want a reset", err)
		}
		_ = again.Close()
	}
}

// TestRelayIsolatesIP checks that connections from the isolated IP are cut and
// those from other IPs are not.
func TestRelayIsolatesIP(t *testing.T) {
	r, err := NewRelay(RelayConfig{Target: startEchoServer(t), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Isolate("127.0.0.9", true)
	echoes := func(ip string) bool {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := dialer.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		_, err = io.ReadFull(c, make([]byte, 1))
		return err == nil
	}
	if echoes("127.0.0.9") {
		t.Error("isolated IP: got an echo, want none")
	}
	if !echoes("127.0.0.8") {
		t.Error("other IP: got no echo")
	}
	r.Isolate("127.0.0.9", false)
	if !echoes("127.0.0.9") {
		t.Error("IP after the end of its isolation: got no echo")
	}
}
