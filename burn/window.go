package burn

// Window is a span of time that ends now.
type Window string

// The windows of a report.
const (
	FiveMinutes   Window = "5m"
	ThirtyMinutes Window = "30m"
	OneHour       Window = "1h"
	SixHours      Window = "6h"
)

// Windows returns the windows from the shortest to the longest.
func Windows() []Window {
	return []Window{FiveMinutes, ThirtyMinutes, OneHour, SixHours}
}

func (w Window) minutes() int64 {
	switch w {
	case FiveMinutes:
		return 5
	case ThirtyMinutes:
		return 30
	case OneHour:
		return 60
	}
	return ringMinutes
}

// Alert says how urgent a burn is.
type Alert string

// The alerts, from the most urgent.
const (
	// Fast uses up 2 % of a 30-day budget in an hour.
	Fast Alert = "fast"
	// Slow uses up 5 % of a 30-day budget in 6 hours.
	Slow Alert = "slow"
	// None is no alert.
	None Alert = "none"
)

func (a Alert) rank() int {
	switch a {
	case Fast:
		return 0
	case Slow:
		return 1
	}
	return 2
}

// The burn rates that raise an alert, by table 5-8 of The Site Reliability
// Workbook. A long window shows that the loss matters, a short one that it
// still goes on.
const (
	fastRate = 14.4
	slowRate = 6
)

// minBad keeps services with few calls from alerts on a handful of failures.
const minBad = 5

// alert returns the alert for the burn rates and the counts of bad calls that
// the two functions give for a window.
func alert(rate func(Window) float64, bad func(Window) uint64) Alert {
	over := func(long, short Window, limit float64) bool {
		return rate(long) > limit && rate(short) > limit && bad(long) >= minBad
	}
	switch {
	case over(OneHour, FiveMinutes, fastRate):
		return Fast
	case over(SixHours, ThirtyMinutes, slowRate):
		return Slow
	}
	return None
}
