// Package soak runs real daemons as processes on one machine, injects faults from
// outside, and checks the product's promises against what callers and upstreams
// observe.
//
//	report, err := soak.Run(ctx, soak.Config{Daemon: path, Seed: 7, Machines: 6, Length: 20 * time.Second})
//	for _, v := range report.Violations { ... }
//
// The seed determines the faults and their times, but not how the processes react.
// Faults follow each other and overlap. At the end all of them are cleared, and the
// fleet must serve requests normally again.
package soak
