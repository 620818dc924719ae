package main

import (
	"fmt"
	"time"
)

const (
	calmFor      = 10 * time.Second
	powerOffTime = time.Second
)

func init() { cases["unframed-health"] = caseRun{"RECOVER", unframedHealth} }

// unframedHealth: all machines lose power and are back after a second, daemons and workers
// alike. The workers that start then answer their health path without a length.
func unframedHealth(f *fleet, trouble bool) error {
	stop := make(chan struct{})
	wg := f.offer(f.clients(), 1, stop)
	before := f.rec.since()
	time.Sleep(calmFor)
	after := f.rec.since()
	f.rec.note("all machines lose power")
	f.killAll()
	time.Sleep(powerOffTime)
	for _, m := range f.machines {
		m.worker.restart(trouble)
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	return f.judgeRecovery(before, after, func() { close(stop); wg.Wait() })
}

// judgeRecovery checks RECOVER. The requests before the fault were sent between two times;
// the machines are back now. end ends the traffic.
func (f *fleet) judgeRecovery(before, after time.Duration, end func()) error {
	back := f.rec.since()
	f.rec.note("all machines are back")
	time.Sleep(recovery + judgedFor)
	end()
	sentBefore, servedBefore := f.rec.served(before, after)
	sent, served := f.rec.served(back+recovery, back+recovery+judgedFor)
	text := fmt.Sprintf("before the fault %d of %d requests served; later than %s after the machines were back %d of %d", servedBefore, sentBefore, recovery, served, sent)
	f.rec.note("%s", text)
	fmt.Println(text)
	if sent == 0 || 4*servedBefore < sentBefore {
		return fmt.Errorf("too little was served before the fault, or nothing was sent after it")
	}
	if 4*served < sent {
		f.rec.mu.Lock()
		f.rec.broken("RECOVER", "later than %s after the machines were back %d of %d requests were served", recovery, served, sent)
		f.rec.mu.Unlock()
	}
	return nil
}
