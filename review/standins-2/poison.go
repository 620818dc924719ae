package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// poisonedRestarts: a request that crashes each worker that begins to run it comes again every
// few seconds, at one machine after the other, while the daemons are stopped and started again
// in turn on their own. It never comes when one of the machines is out of touch.
func poisonedRestarts(w *world, trouble bool) (int, error) {
	const (
		contact  = 3 * time.Second
		down     = 2 * time.Second         // a crashed worker is back after that
		silence  = 4500 * time.Millisecond // its entry goes after three check-in intervals
		restarts = 18
		rest     = 3100 * time.Millisecond // between two restarts; longer than contact
		again    = 6000 * time.Millisecond // without restarts the request comes again after that
		length   = 106 * time.Second
		poisoned = "/lookup/crash"
	)
	zones := []string{"wien", "linz", "graz", "wien"}
	var (
		mu      sync.Mutex
		crashes []time.Time
		changes = map[int][]time.Time{} // stops and starts by machine
		lost    int
	)
	var launch func(machineNumber, start int) error
	launch = func(n, start int) error {
		k, err := w.startWorker(fmt.Sprintf("i-%d%04d", n, start), "lookups", at(machine(n), w.ports.upstream), 12)
		if err != nil {
			return err
		}
		k.crashes = func(path string) bool { return path == poisoned }
		k.crashed = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("worker %s has crashed", k.id)
			time.AfterFunc(silence, func() { w.store.remove("servers/" + k.id) })
			time.AfterFunc(down, func() {
				if err := launch(n, start+1); err != nil {
					w.note("worker of machine %d did not start again: %v", n, err)
				}
			})
		}
		w.store.put("servers/"+k.start().id, k.entry(zones[n-1], "ready", 1))
		return nil
	}
	for n := 1; n <= len(zones); n++ {
		if err := launch(n, 1); err != nil {
			return notRun, err
		}
	}
	w.configure(route{"r-lookup", "lookups.example", "/lookup/", "safe", "lookups", "1000ms"}, route{"r-order", "lookups.example", "/order/", "unsafe", "lookups", "1200ms"})
	for n, zone := range zones {
		if _, err := w.startDaemon(n+1, "lookups", zone); err != nil {
			return notRun, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(contact)

	begun := time.Now()
	var wg sync.WaitGroup
	// The request that crashes workers.
	sentAt, sentFrom := map[string]time.Time{}, map[string]int{}
	comes := func(i int) {
		d := w.daemons[i%len(w.daemons)]
		c := &client{address: d.outbound()}
		defer c.close()
		id := fmt.Sprintf("c%08d", i)
		sentAt[id], sentFrom[id] = time.Now(), d.n
		c.send(w, "GET", "lookups.example", poisoned, id, time.Second, "", nil)
	}
	// Other clients, whose orders share the workers.
	for _, d := range w.daemons {
		for j := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{address: d.outbound()}
				defer c.close()
				for i := 0; time.Since(begun) < length-3*time.Second; i++ {
					if !d.ready() {
						c.close()
						time.Sleep(200 * time.Millisecond)
						continue
					}
					r := c.send(w, "POST", "lookups.example", "/order/w120", fmt.Sprintf("%02d%02d%06d", d.n, j, i), 1200*time.Millisecond, "", []byte("one order"))
					if r.status != 200 && len(w.runsOf(r.id)) > 0 {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				}
			}()
		}
	}
	comes(0)
	time.Sleep(down + time.Second)
	comes(1)
	time.Sleep(down)
	for i := 2; i < 2+restarts && time.Since(begun) < length-7*time.Second; i++ {
		if !trouble {
			comes(i)
			time.Sleep(again)
			continue
		}
		d := w.daemons[i%len(w.daemons)]
		w.note("SIGTERM to daemon %d", d.n)
		d.signal(syscall.SIGTERM)
		<-d.done
		if err := d.start(); err != nil {
			return notRun, err
		}
		started := time.Now()
		mu.Lock()
		changes[d.n] = append(changes[d.n], started)
		mu.Unlock()
		w.note("daemon %d started again", d.n)
		for !d.ready() && time.Since(started) < 5*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Until(started.Add(rest)))
		comes(i + 1)
	}
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	inTouch := func(n int, t time.Time) bool {
		return !slices.ContainsFunc(changes[n], func(r time.Time) bool { return t.After(r) && t.Sub(r) < contact })
	}
	w.note("%d crashes, %d orders ran and were not answered with success", len(crashes), lost)
	if len(crashes) < 2 {
		return notRun, fmt.Errorf("only %d crashes", len(crashes))
	}
	late := map[string]bool{}
	for _, r := range w.runs {
		if r.path != poisoned || len(crashes) < 3 || r.at.Sub(crashes[2]) <= contact {
			continue
		}
		var n int
		_, _ = fmt.Sscanf(r.worker, "i-%1d", &n)
		touch := inTouch(sentFrom[r.id], sentAt[r.id]) && inTouch(n, r.at)
		w.note("%s reached worker %s, %.1f s after the third crash; sent at machine %d; both machines in touch: %v", r.id, r.worker, r.at.Sub(crashes[2]).Seconds(), sentFrom[r.id], touch)
		if touch {
			late[r.id] = true
		}
	}
	fmt.Printf("%d crashes; reached workers in %d retries of machines in touch, later than contact after the third crash (at most 3); %d orders lost\n", len(crashes), len(late), lost)
	if len(late) > 3 {
		return broken, nil
	}
	return held, nil
}
