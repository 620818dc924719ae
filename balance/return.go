package balance

import "time"

// returningReportTTL is how long a report of a draining upstream holds that comes soon after
// the upstream has returned. Its daemon may learn of the return later than this one, by as
// much as a change in the store takes, and would be avoided long after that.
const returningReportTTL = 300 * time.Millisecond

// Return makes an upstream that was excluded for a while, such as during the evacuation of its
// zone, start like a new one, and drops what was reported and refused before.
func (p *Picker) Return(id string, now time.Time) {
	u := p.upstream(id)
	u.seen, u.rampStart, u.returnedAt, u.refusals = true, now, now, 0
	if u.load.State == Draining {
		u.load.State = Serving
	}
}

// closedFor returns how long the last report of a draining or down upstream holds.
func (u *upstream) closedFor() time.Duration {
	if u.load.State == Draining && !u.returnedAt.IsZero() && u.measuredAt.Sub(u.returnedAt) < closedReportTTL {
		return returningReportTTL
	}
	return closedReportTTL
}
