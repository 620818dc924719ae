package burn

// Window is a period of time that ends now.
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

// Alert is the urgency of a burn.
type Alert string

// The alerts, from the most urgent.
const (
	// Fast means that 2 % of a 30-day budget are consumed in an hour.
	Fast Alert = "fast"
	// Slow means that 5 % of a 30-day budget are consumed in 6 hours.
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

// The burn rates above which an alert is raised, from table 5-8 of The Site
// Reliability Workbook. The long window shows that the loss is significant, the short
// one that it is still going on.
const (
	fastBurnRate = 14.4
	slowBurnRate = 6
)

// minBadCalls prevents alerts on a handful of failures of a service with few calls.
const minBadCalls = 5

// alert returns the alert for the burn rates and the numbers of bad calls that the two
// functions return for a window.
func alert(rate func(Window) float64, bad func(Window) uint64) Alert {
	over := func(long, short Window, limit float64) bool {
		return rate(long) > limit && rate(short) > limit && bad(long) >= minBadCalls
	}
	switch {
	case over(OneHour, FiveMinutes, fastBurnRate):
		return Fast
	case over(SixHours, ThirtyMinutes, slowBurnRate):
		return Slow
	}
	return None
}
