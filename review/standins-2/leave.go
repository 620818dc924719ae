package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// departure is a worker whose entry has been removed.
type departure struct {
	machine int
	at      time.Time // the acknowledgement of the store
	exit    time.Time
}

// leaveAfterOutage: the store answers nothing for 8 s. As soon as it has been well for contact,
// workers leave, some of which never report draining: their entries are removed, and they serve
// for drain and a little longer.
func leaveAfterOutage(w *world, trouble bool) (int, error) {
	const (
		contact  = 3 * time.Second
		drain    = 2 * time.Second
		outage   = 8 * time.Second
		stays    = 2300 * time.Millisecond // drain and a little longer
		slack    = 10 * time.Millisecond
		cycles   = 4
		leaving  = 3 // of which the last reports draining first
		machines = 12
		rest     = contact + time.Second
		// calm is the time from the last change in the store to the outage.
		calm = 2700 * time.Millisecond
	)
	zones := []string{"wien", "linz", "graz"}
	workers := map[int]*worker{}
	starts := map[int][]time.Time{}
	var mu sync.Mutex
	launch := func(n, number int) error {
		k, err := w.startWorker(fmt.Sprintf("i-%02d%04d", n, number), "orders", at(machine(n), w.ports.upstream), 12)
		if err != nil {
			return err
		}
		workers[n] = k.start()
		w.store.put("servers/"+k.id, k.entry(zones[n%3], "ready", 1))
		return nil
	}
	for n := 1; n <= machines; n++ {
		if err := launch(n, 1); err != nil {
			return notRun, err
		}
	}
	orders := route{"r-orders", "orders.example", "/orders/", "unsafe", "orders", "1200ms"}
	w.configure(orders)
	for n := 1; n <= machines; n++ {
		if _, err := w.startDaemon(n, "orders", zones[n%3]); err != nil {
			return notRun, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(contact)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	sentAt, sentFrom := map[string]time.Time{}, map[string]int{}
	var replies []reply
	for _, d := range w.daemons {
		for j := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{address: d.outbound()}
				defer c.close()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					if i%10 == 0 && !d.ready() {
						c.close()
						time.Sleep(200 * time.Millisecond)
						continue
					}
					id := fmt.Sprintf("%02d%02d%06d", d.n, j, i)
					mu.Lock()
					sentAt[id], sentFrom[id] = time.Now(), d.n
					mu.Unlock()
					r := c.send(w, "POST", "orders.example", "/orders/w120", id, 1200*time.Millisecond, "", []byte("one movement"))
					if r.status == 0 && len(w.runsOf(id)) == 0 {
						// The daemon of this machine has ended.
						time.Sleep(100 * time.Millisecond)
						continue
					}
					mu.Lock()
					replies = append(replies, r)
					mu.Unlock()
				}
			}()
		}
	}
	left := map[string]departure{}
	var wellSince []time.Time
	for cycle := range cycles {
		w.configure(orders)
		time.Sleep(calm)
		if trouble {
			w.note("the store is silent")
			w.store.setSilent(true)
		}
		time.Sleep(outage)
		w.store.setSilent(false)
		w.note("the store answers")
		wellSince = append(wellSince, time.Now())
		time.Sleep(contact + 50*time.Millisecond)
		var gone sync.WaitGroup
		for i := range leaving {
			n := (cycle*leaving+i)%machines + 1
			k := workers[n]
			var acked time.Time
			if i == leaving-1 {
				acked = w.store.put("servers/"+k.id, k.entry(zones[n%3], "draining", 2))
				w.note("worker %s leaves: it reports draining", k.id)
			} else {
				acked = w.store.remove("servers/" + k.id)
				w.note("worker %s leaves: its entry is removed", k.id)
			}
			mu.Lock()
			left[k.id] = departure{n, acked, acked.Add(stays)}
			mu.Unlock()
			gone.Add(1)
			go func() {
				defer gone.Done()
				time.Sleep(time.Until(acked.Add(stays)))
				k.exit()
				w.store.remove("servers/" + k.id)
				w.note("worker %s has ended", k.id)
				d := w.daemons[n-1]
				d.signal(syscall.SIGTERM)
				<-d.done
			}()
		}
		gone.Wait()
		// Others come in their place.
		for i := range leaving {
			n := (cycle*leaving+i)%machines + 1
			if err := launch(n, cycle+2); err != nil {
				return notRun, err
			}
			if err := w.daemons[n-1].start(); err != nil {
				return notRun, err
			}
			mu.Lock()
			starts[n] = append(starts[n], time.Now())
			mu.Unlock()
		}
		time.Sleep(rest)
	}
	close(stop)
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	answered, served := map[string]reply{}, 0
	for _, r := range replies {
		answered[r.id] = r
		if r.status == 200 {
			served++
		}
	}
	late, lost := 0, 0
	for _, r := range w.runs {
		d, ok := left[r.worker]
		if !ok {
			continue
		}
		inTouch := func(n int) bool {
			recent := func(t time.Time) bool { return r.at.After(t) && sentAt[r.id].Sub(t) < contact }
			return !slices.ContainsFunc(wellSince, recent) && !slices.ContainsFunc(starts[n], recent)
		}
		if after := r.at.Sub(d.at); after > drain+slack && inTouch(sentFrom[r.id]) && inTouch(d.machine) {
			late++
			w.note("DRAIN: order %s, sent %d ms after %s began to leave, at machine %d, reached that worker %d ms after it", r.id,
				sentAt[r.id].Sub(d.at).Milliseconds(), r.worker, sentFrom[r.id], after.Milliseconds())
			if answered[r.id].status != 200 {
				lost++
				w.note("LOST: order %s was at work when its worker ended, and was answered %d", r.id, answered[r.id].status)
			}
		}
	}
	text := fmt.Sprintf("%d orders, %d served; %d reached a worker later than drain after it began to leave, %d of them were at work when it ended", len(replies), served, late, lost)
	w.note("%s", text)
	fmt.Println(text)
	if served < len(replies)*9/10 {
		return notRun, fmt.Errorf("only %d of %d orders were served", served, len(replies))
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
