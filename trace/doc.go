// Package trace assembles the timeline of one request from the logs of several
// daemons.
//
//	var log trace.Log
//	err := log.Read("daemon-1.log", file, trace.Query{ID: "9c41d07be2a35f68"})
//	for _, e := range log.Timeline() {
//		fmt.Println(e)
//	}
//
// Logs consist of JSON lines. Other lines and truncated ones are counted and
// skipped. The clocks of daemons differ: if a daemon's lines about an attempt are
// not between the start and the end of the attempt at its sender, that daemon's
// clock is shifted so that they are.
package trace
