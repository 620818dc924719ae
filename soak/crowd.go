package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pomelodoor.example/pomelodoor/platform/platformtest"
)

const (
	// crowdOneIn: one plan in this many contains a Crowd.
	crowdOneIn = 2
	// crowdCallers is the number of callers of a crowd at each daemon. Four in five send bodies
	// of crowdBodyBytes, together as much as the memory of a daemon's machine.
	crowdCallers   = 80
	crowdBodyBytes = 1_000_000
	// crowdDeadline is longer than any Crowd, so that no deadline ends its requests.
	crowdDeadline = 2 * maxEventTime
	// crowdPause is the pause before a caller whose connection was closed connects again.
	crowdPause = 500 * time.Millisecond
	// longChunk and shortChunk are the lengths of the chunks in which bodies are sent.
	longChunk  = 64 << 10
	shortChunk = 16
)

// addCrowd adds a Crowd to some plans. It draws random numbers of its own, so that the other
// events of a seed stay the same.
func addCrowd(events []Event, seed uint64, machines int, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 3))
	window := length - quietPeriod
	if rng.IntN(crowdOneIn) > 0 || window <= 0 {
		return events
	}
	at := time.Duration(0.8 * rng.Float64() * float64(window))
	duration := time.Duration((0.3 + 0.7*rng.Float64()) * float64(maxEventTime))
	count := 1
	if rng.IntN(2) == 0 {
		count += rng.IntN(machines)
	}
	events = append(events, Event{At: at, Duration: min(duration, window-at), Kind: Crowd, Machines: rng.Perm(machines)[:count]})
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// receiveCrowd sends a crowd of incomplete requests to the machine until the event ends.
func (m *machine) receiveCrowd(e Event) {
	end := time.Now().Add(e.Duration)
	var callers sync.WaitGroup
	for i := range crowdCallers {
		text := incompleteRequest(i, fmt.Sprintf("crowd-%d-%d-%d", m.fleet.cfg.Seed, m.number, i))
		callers.Go(func() {
			for ; time.Now().Before(end); time.Sleep(min(crowdPause, time.Until(end))) {
				holdRequest(hostPort(m.publicIP, m.fleet.ports.listen), text, end)
			}
		})
	}
	callers.Wait()
}

// holdRequest sends an incomplete request and keeps its connection open until the daemon closes
// it, or until end. Errors are refusals, which are allowed.
func holdRequest(address, text string, end time.Time) {
	dialer := net.Dialer{Deadline: end}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if conn.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(conn, text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// incompleteRequest returns what caller number i of a crowd sends: a body by length, in long or
// in short chunks, all without their ends, or half a head.
func incompleteRequest(i int, token string) string {
	request := platformtest.Request{Token: token, Method: http.MethodPost, Path: orderPath + "crowd", Timeout: crowdDeadline}
	head, _, _ := strings.Cut(request.Text(), "Content-Length")
	switch i % 5 {
	case 0, 1:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, crowdBodyBytes, strings.Repeat("a", crowdBodyBytes-1))
	case 2:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + openChunks(longChunk)
	case 3:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + openChunks(shortChunk)
	default:
		return head + "X-Long: " + strings.Repeat("h", 8000)
	}
}

// openChunks returns a body in chunks of a length, without the last chunk.
func openChunks(length int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", length, strings.Repeat("c", length))
	return strings.Repeat(chunk, crowdBodyBytes/length)
}
