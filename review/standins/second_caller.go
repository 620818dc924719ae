package main

import "time"

const forgedFor = 10 * time.Second

func init() { cases["second-caller"] = caseRun{"UNASKED", secondCaller} }

// secondCaller: some clients send the header of the caller themselves, in two header lines.
func secondCaller(f *fleet, trouble bool) error {
	stop := make(chan struct{})
	clients := f.clients()
	for _, c := range clients {
		c.header = callerHeader + ": photos\r\n"
		if trouble {
			c.header += callerHeader + ": bookings\r\n"
		}
	}
	wg := f.offer(clients, 1, stop)
	time.Sleep(forgedFor)
	close(stop)
	wg.Wait()
	return nil
}
