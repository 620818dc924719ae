// Package daychart charts a day on the users' bench: the earned value and the
// latency of the requests over time, for one version or several versions side
// by side.
//
//	before, err := daychart.Read("before", file)
//	after, err := daychart.Read("after", other)
//	err = daychart.Draw(out, "trouble-3", []daychart.Day{before, after})
package daychart
