// Package trace tells the story of one request from the logs of several daemons.
//
//	var log trace.Log
//	err := log.Read("daemon-1.log", file, trace.Query{ID: "9c41d07be2a35f68"})
//	for _, e := range log.Story() {
//		fmt.Println(e)
//	}
//
// Logs are JSON lines. What is no such line, or is cut short, is counted and passed
// over. The clocks of daemons differ: where a daemon's lines on an attempt do not
// stand between its sending and its end, its clock is shifted so that they do.
package trace
