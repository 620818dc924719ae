package config

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// KeyZones is the key of the zones document.
const KeyZones = "zones"

const (
	// maxEvacuatedZones is the maximum number of zones in a zones document. Version
	// represents the number in one byte.
	maxEvacuatedZones = 255
	// maxZoneBytes is the maximum length of the name of an availability zone.
	maxZoneBytes = 256
)

// Zones is the content of a zones document: the availability zones whose instances get no
// requests. It is immutable and safe for concurrent use.
type Zones struct {
	evacuated []string
}

// Evacuated returns the evacuated zones, sorted.
func (z *Zones) Evacuated() []string { return slices.Clone(z.evacuated) }

// Evacuates reports whether an availability zone is evacuated.
func (z *Zones) Evacuates(availabilityZone string) bool {
	_, found := slices.BinarySearch(z.evacuated, availabilityZone)
	return found
}

// zones decodes a zones document. The list is required, since a document without it would
// end every evacuation.
func (r *reader) zones(root *node) *Zones {
	o := r.object(root, "", "kind", "revision", "evacuated")
	if _, ok := o.field("evacuated"); !ok {
		r.fault(root.line, "evacuated", "is missing")
	}
	zones, _ := o.texts("evacuated", maxEvacuatedZones, checkZone)
	slices.Sort(zones)
	return &Zones{evacuated: zones}
}

// ValidZone reports whether a name may be that of an availability zone or a region.
func ValidZone(name string) bool { return checkZone(name) == "" }

// checkZone accepts the names that other platforms choose, which follow rules of their
// own.
func checkZone(text string) string {
	switch {
	case text == "":
		return "is empty"
	case len(text) > maxZoneBytes:
		return fmt.Sprintf("is longer than %d bytes", maxZoneBytes)
	case strings.ContainsFunc(text, unicode.IsControl):
		return "contains a control character"
	}
	return ""
}
