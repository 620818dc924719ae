// Package experiment measures how calls fare over a fleet of real daemons.
//
// A Fleet is the stand-in platform, the stand-in workers and one daemon for
// each worker, all in this process and joined by loopback sockets. Links add
// delay, jitter and loss between availability zones. A run offers load whose
// rate does not wait for answers, lets one Fault happen, and returns what the
// callers saw and what the daemons spent.
//
//	size := experiment.Zeigerwerk()
//	result, err := experiment.Run(ctx, experiment.RunConfig{
//		Size: size, Case: experiment.Steady, Load: 0.8, Policy: experiment.Ours(), Seed: 1,
//		ServiceTime: 40 * time.Millisecond, Warm: time.Second, Duration: 4 * time.Second,
//	})
//	fmt.Println(result.Latency.ValueAtQuantile(99))
//
// A Policy may replace package balance by a Chooser of its own, which sees the
// Ledger of the fleet's true counters.
package experiment
