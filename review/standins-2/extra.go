package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// extraRefusal: two of four workers, which are faulty, send additional bytes after 3 in 100 of
// their complete answers, a little later: they read like the answer with which a worker sheds.
func extraRefusal(w *world, trouble bool) (int, error) {
	const (
		length = 22 * time.Second
		// The workers are faulty twice, for 5 s.
		faulty, first, second = 5 * time.Second, 3 * time.Second, 13 * time.Second
		share                 = 0.03
		after                 = 60 * time.Millisecond
		clients               = 8
	)
	var extras atomic.Int64
	var begun atomic.Pointer[time.Time]
	inFault := func() bool {
		t := begun.Load()
		return t != nil && (time.Since(*t) >= first && time.Since(*t) < first+faulty || time.Since(*t) >= second && time.Since(*t) < second+faulty)
	}
	random := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	for i := 1; i <= 4; i++ {
		k, err := w.startWorker(fmt.Sprintf("i-%d", i), "orders", at(machine(i), w.ports.upstream), 12)
		if err != nil {
			return notRun, err
		}
		if i <= 2 && trouble {
			k.extra = func(c net.Conn) {
				mu.Lock()
				draw := random.Float64()
				mu.Unlock()
				if draw >= share || !inFault() {
					return
				}
				time.AfterFunc(after, func() {
					extras.Add(1)
					w.note("additional bytes of %s", k.id)
					_, _ = c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\n" + header("notRun", "1") + "Content-Length: 0\r\n\r\n"))
				})
			}
		}
		w.store.put("servers/"+k.start().id, k.entry("wien", "ready", 1))
	}
	w.configure(route{"r-orders", "orders.example", "/orders/", "unsafe", "orders", "1200ms"})
	for i := 1; i <= 4; i++ {
		if _, err := w.startDaemon(i, "orders", "wien"); err != nil {
			return notRun, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	now := time.Now()
	begun.Store(&now)
	replies := w.load(length, clients, func(c *client, id string) reply {
		return c.send(w, "POST", "orders.example", "/orders/w150", id, 1200*time.Millisecond, "", []byte("one movement"))
	})
	twice, refused, served := 0, 0, 0
	for _, r := range replies {
		runs := w.runsOf(r.id)
		if r.status == 200 {
			served++
		}
		if len(runs) > 1 {
			twice++
			w.note("TWICE: %s ran at %s and at %s, answered %d", r.id, runs[0].worker, runs[1].worker, r.status)
		}
		if len(runs) > 0 && (r.status == 429 || r.status == 503) {
			refused++
			w.note("REFUSED: %s ran at %s, answered %d", r.id, runs[0].worker, r.status)
		}
	}
	w.note("%d orders, %d served, %d additional answers, %d ran twice, %d refused and run", len(replies), served, extras.Load(), twice, refused)
	fmt.Printf("%d orders, %d served, %d additional answers, %d ran twice, %d refused and run\n", len(replies), served, extras.Load(), twice, refused)
	if served < len(replies)*9/10 {
		return notRun, fmt.Errorf("only %d of %d orders were served", served, len(replies))
	}
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

// load sends requests from a number of clients at each daemon, one after the other on a kept
// connection, and returns the replies.
func (w *world) load(length time.Duration, clients int, send func(c *client, id string) reply) []reply {
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		replies []reply
	)
	until := time.Now().Add(length)
	for _, d := range w.daemons {
		for j := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{address: d.outbound()}
				defer c.close()
				for n := 0; time.Now().Before(until); n++ {
					r := send(c, fmt.Sprintf("%02d%02d%06d", d.n, j, n))
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	return replies
}
