// Package daychart draws the seconds of a day on the users' bench: what the
// requests earned and how long they took, of one version or of several side by
// side.
//
//	before, err := daychart.Read("before", file)
//	after, err := daychart.Read("after", other)
//	err = daychart.Draw(out, "trouble-3", []daychart.Day{before, after})
package daychart
