// Package soak runs real daemons as processes on one machine, lets faults befall
// them from outside, and checks the promises by what callers and upstreams see.
//
//	report, err := soak.Run(ctx, soak.Config{Daemon: path, Seed: 7, Machines: 6, Length: 20 * time.Second})
//	for _, v := range report.Violations { ... }
//
// A seed fixes the faults and their times; what the processes make of them it
// does not. Faults come in series and overlap. At the end all of them are mended,
// and the fleet must serve as if nothing had been.
package soak
