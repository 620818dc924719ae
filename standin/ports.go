package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are chosen below those that systems give to outgoing connections, so
// that none of these takes a port between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 1000
)

// ErrNoPort is returned when too few ports are free.
var ErrNoPort = errors.New("no free port")

// FreeAddrs returns n different free loopback addresses. Another process may
// take one before it is used, so prefer to let a server choose its port.
func FreeAddrs(n int) ([]string, error) {
	var out []string
	for range portTries {
		if len(out) == n {
			return out, nil
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		out = append(out, addr)
	}
	return nil, fmt.Errorf("%d addresses: %w", n, ErrNoPort)
}
