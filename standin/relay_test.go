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

// echo serves a listener that sends back what it gets.
func echo(t *testing.T) string {
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
	r, err := NewRelay(RelayConfig{To: echo(t), Link: link, Seed: 1})
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
		t.Errorf("%d of %d bytes, %v", len(got), len(sent), err)
	}
}

func TestRelayDelays(t *testing.T) {
	tests := map[string]struct {
		link    Link
		atLeast time.Duration
		atMost  time.Duration
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
			if took := time.Since(start); took < tt.atLeast || took > tt.atMost {
				t.Errorf("took %v", took)
			}
		})
	}
}

func TestRelayCuts(t *testing.T) {
	r, c := newTestRelay(t, Link{})
	one := make([]byte, 1)
	r.Set(Link{Cut: CutBlackHole})
	_, _ = c.Write([]byte("x"))
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("through a black hole: %v", err)
	}
	r.Set(Link{})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(one); err != nil {
		t.Errorf("after the black hole: %v", err)
	}
	r.Set(Link{Cut: CutReset})
	if _, err := c.Read(one); err == nil {
		t.Error("connection outlives a reset")
	}
	again, err := net.Dial("tcp", r.Addr())
	if err == nil {
		_ = again.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := again.Read(one); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("new connection over a reset link: %v", err)
		}
		_ = again.Close()
	}
}

// TestRelayIsolates: connections from one IP are held up, those from others pass.
func TestRelayIsolates(t *testing.T) {
	r, err := NewRelay(RelayConfig{To: echo(t), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	r.Isolate("127.0.0.9", true)
	talk := func(ip string) bool {
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
	if talk("127.0.0.9") {
		t.Error("the isolated one is heard")
	}
	if !talk("127.0.0.8") {
		t.Error("another is not heard")
	}
	r.Isolate("127.0.0.9", false)
	if !talk("127.0.0.9") {
		t.Error("not heard after the end")
	}
}
