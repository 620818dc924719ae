// Package experiment measures latency, success and overhead of calls through a
// fleet of real daemons.
//
// A Fleet consists of the stand-in platform, the stand-in workers and one daemon
// for each worker, all in this process and connected by loopback sockets. Links
// add delay, jitter and loss between availability zones. A run offers open-loop
// load, injects the fault of one Case, and returns what the callers observed and
// what overhead the daemons had.
//
//	size := experiment.Zeigerwerk()
//	result, err := experiment.Run(ctx, experiment.RunConfig{
//		Size: size, Case: experiment.Steady, Load: 0.8, Policy: experiment.AllOn(), Seed: 1,
//		ServiceTime: 40 * time.Millisecond, WarmUp: time.Second, Duration: 4 * time.Second,
//	})
//	fmt.Println(result.Latency.ValueAtQuantile(99))
//
// A Policy may replace package balance by its own Chooser, which has access to the
// true state of the fleet in FleetState.
package experiment
