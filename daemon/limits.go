package daemon

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// longestWait is the longest deadline of a service's calls.
func (d *Daemon) longestWait(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Timeout(service)
}

// maxBody is the longest request body of a service.
func (d *Daemon) maxBody(service string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.MaxBodyBytes(service)
}

// record counts an answered call for the service-level report.
func (d *Daemon) record(string, call.Outcome, int, time.Duration) {}
