package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// class is a kind of request, as in the table of SYSTEM.md.
type class struct {
	host, prefix, method string
	unsafe               bool
	perSecond            float64
	work, deadline       time.Duration
	bodyBytes            int
	retries              int
}

// The hosts of the routes for clients and for the calls of workers.
const (
	townHost  = "stadt.example"
	innerHost = "innen.example"
)

var classes = map[string]class{
	"route-lookup":  {townHost, "/lookup/", "GET", false, 95.8, 90 * time.Millisecond, 800 * time.Millisecond, 0, 1},
	"wipe-booking":  {townHost, "/booking/", "POST", true, 54.4, 120 * time.Millisecond, time.Second, 300, 1},
	"panel-photos":  {townHost, "/photos/", "POST", true, 12.8, 110 * time.Millisecond, time.Second, 60000, 1},
	"booking-check": {innerHost, "/booking-check/", "GET", false, 0, 22 * time.Millisecond, 250 * time.Millisecond, 0, 0},
	"photo-check":   {innerHost, "/photo-check/", "GET", false, 0, 22 * time.Millisecond, 250 * time.Millisecond, 0, 0},
}

// client sends requests to the daemon of its machine, over kept connections.
type client struct {
	f *fleet
	m *machine
	// header is what the client adds to each request.
	header string
	mu     sync.Mutex
	idle   []net.Conn
}

func newClient(f *fleet, m *machine) *client { return &client{f: f, m: m} }

// call makes a request with its retries and returns the last status.
func (c *client) call(name string, timeout time.Duration) int {
	k := classes[name]
	end := time.Now().Add(timeout)
	status := 0
	for try := 0; try <= k.retries; try++ {
		var retryAfter time.Duration
		status, retryAfter = c.attempt(name, k, time.Until(end), try > 0)
		promised := status == 503 || status == 429 || status == 408 || status == 421
		if status/100 == 2 || status == 400 || status == 401 || status == 404 || status == 413 || status == 431 || k.unsafe && !promised {
			return status
		}
		time.Sleep(min(retryAfter, time.Until(end)/3))
		if time.Until(end) < 20*time.Millisecond {
			return status
		}
	}
	return status
}

// attempt sends one request with an id of its own. A retry takes a new connection.
func (c *client) attempt(name string, k class, left time.Duration, fresh bool) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	a := &attempt{
		id: id, class: name, caller: c.m.service, method: k.method, unsafe: k.unsafe,
		path: k.prefix + strconv.FormatUint(rand.Uint64N(1000), 10), body: strings.Repeat("x", k.bodyBytes),
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", k.method, a.path, k.host, attemptHeader, id, deadlineHeader, left.Milliseconds(), c.header)
	if k.method == "POST" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	conn, err := c.connect(fresh)
	if err != nil {
		return 0, 0
	}
	c.f.rec.sent(a, c.m.name)
	_ = conn.SetDeadline(time.Now().Add(left))
	if _, err = io.WriteString(conn, head.String()+"\r\n"+a.body); err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			body, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			whole := readErr == nil && string(body) == bodyFor(id)
			detail := ""
			if resp.StatusCode != 200 {
				detail = strings.TrimSpace(string(body))
			}
			c.f.rec.gotAnswer(a, resp.StatusCode, resp.Header.Get(sealHeader), resp.Header.Get(attemptHeader), whole, detail)
			if readErr != nil || resp.Close {
				_ = conn.Close()
			} else {
				c.keep(conn)
			}
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			return resp.StatusCode, time.Duration(seconds * float64(time.Second))
		}
	}
	_ = conn.Close()
	c.f.rec.gotAnswer(a, 0, "", "", false, err.Error())
	return 0, 0
}

func (c *client) connect(fresh bool) (net.Conn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return net.DialTimeout("tcp", c.m.address(portOutbound), time.Second)
}

func (c *client) keep(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// offer sends each class at its rate, times share, until stop is closed. The requests
// begin at all machines alike.
func (f *fleet) offer(clients []*client, share float64, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for name, k := range classes {
		if k.perSecond == 0 {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				pause := time.Duration(rand.ExpFloat64() / (k.perSecond * share) * float64(time.Second))
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				c := clients[rand.IntN(len(clients))]
				wg.Add(1)
				go func() {
					defer wg.Done()
					c.call(name, k.deadline)
				}()
			}
		}()
	}
	return &wg
}

func (f *fleet) clients() []*client {
	var list []*client
	for _, m := range f.machines {
		list = append(list, newClient(f, m))
	}
	return list
}
