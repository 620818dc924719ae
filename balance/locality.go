package balance

// locality is how near a candidate is to the daemon.
type locality string

// The localities, from the nearest to the farthest.
const (
	sameZone    locality = "sameZone"
	otherZone   locality = "otherZone"
	otherRegion locality = "otherRegion"
)

// locality returns the locality of a candidate. One whose region is not known is taken to
// be in the daemon's region.
func (p *Picker) locality(c *Candidate) locality {
	switch {
	case c.Zone == p.config.SelfZone:
		return sameZone
	case c.Region == "" || p.config.SelfRegion == "" || c.Region == p.config.SelfRegion:
		return otherZone
	}
	return otherRegion
}

// choicesLeft counts the candidates of each locality that are still to be compared.
type choicesLeft struct {
	sameZone, otherZones, otherRegions int
}

func (c *choicesLeft) any() bool { return c.sameZone+c.otherZones+c.otherRegions > 0 }

func (c *choicesLeft) at(l locality) *int {
	switch l {
	case sameZone:
		return &c.sameZone
	case otherZone:
		return &c.otherZones
	}
	return &c.otherRegions
}
