package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are chosen below the ephemeral range, so that no outgoing connection
// takes a port between its allocation and its use.
const (
	firstPort    = 20_000
	lastPort     = 32_000
	maxPortTries = 1000
)

// ErrNoPort is returned when too few ports are free.
var ErrNoPort = errors.New("no free port")

// allocated holds the ports that this process has allocated, so that none is
// allocated again before its first user listens on it.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// FreeAddrs returns n distinct free loopback addresses. A process never gets the
// same address twice. Another process may take an address before it is used, so
// prefer servers that choose their own port.
func FreeAddrs(n int) ([]string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	var out []string
	for range maxPortTries {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if allocated.ports[port] || !isFree(addr) {
			continue
		}
		allocated.ports[port] = true
		out = append(out, addr)
	}
	return nil, fmt.Errorf("allocate %d addresses: %w", n, ErrNoPort)
}

// isFree reports whether it is possible to listen on an address.
func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
