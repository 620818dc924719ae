package diff

import (
	"fmt"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// Change is one difference between a document and the version in force.
type Change struct {
	// Key is the key of the document.
	Key string `json:"key"`
	// Subject names the part of the document that changes, such as "route history
	// (clocks.example/history/)"; empty for the whole document.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
}

// String returns the change as KEY: SUBJECT: TEXT.
func (c Change) String() string {
	if c.Subject == "" {
		return c.Key + ": " + c.Text
	}
	return c.Key + ": " + c.Subject + ": " + c.Text
}

// Compare returns what changes if documents are put in force, in the order of documents.
// Keys that are only in force do not change, as daemons never remove a document.
func Compare(inForce, documents []config.Document) []Change {
	old := config.NewSet()
	for _, d := range inForce {
		old.Apply(d)
	}
	var changes []Change
	for _, d := range documents {
		c := &comparison{key: d.Key(), old: old}
		c.document(d)
		changes = append(changes, c.changes...)
	}
	return changes
}

// comparison collects the changes of one document.
type comparison struct {
	key     string
	old     *config.Set
	changes []Change
}

func (c *comparison) add(subject, format string, args ...any) {
	c.changes = append(c.changes, Change{Key: c.key, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// value adds a change if the value with a name differs.
func (c *comparison) value(subject, name, before, after string) {
	if before != after {
		c.add(subject, "%s is now %s, was %s", name, after, before)
	}
}

func (c *comparison) document(d config.Document) {
	before, exists := c.old.Document(c.key)
	switch {
	case !exists:
		c.add("", "is new, revision %d", d.Revision())
	case before.Revision() != d.Revision():
		c.add("", "revision is now %d, was %d", d.Revision(), before.Revision())
	}
	if exists && before.Digest() == d.Digest() {
		return
	}
	switch d.Kind() {
	case config.KindSwitches:
		c.switches(before.Switches(), d.Switches())
	case config.KindZones:
		c.zones(before.Zones(), d.Zones())
	case config.KindRoutes:
		c.routes(before.Routes(), d.Routes(), before.Root(), d.Root())
	case config.KindService:
		c.service(d.Service())
	}
	if exists && len(c.changes) == 0 {
		c.add("", "is written differently, with the same effect")
	}
}

func (c *comparison) switches(before, after *config.Switches) {
	if before == nil {
		before = &config.Switches{}
	}
	switch {
	case after.AllOff() && !before.AllOff():
		c.add("", "all automatic actions are switched off")
	case !after.AllOff() && before.AllOff():
		c.add("", "automatic actions are no longer all switched off")
	}
	for _, action := range config.Actions() {
		was, is := before.Lists(action), after.Lists(action)
		switch {
		case is && !was && after.AllOff():
			c.add(string(action), "will be on once the actions are no longer all off")
		case is && !was:
			c.add(string(action), "is switched on")
		case was && !is:
			c.add(string(action), "is switched off")
		}
	}
}

func (c *comparison) zones(before, after *config.Zones) {
	if before == nil {
		before = &config.Zones{}
	}
	for _, zone := range after.Evacuated() {
		if !before.Evacuates(zone) {
			c.add("zone "+zone, "is evacuated: its instances get no more requests")
		}
	}
	for _, zone := range before.Evacuated() {
		if !after.Evacuates(zone) {
			c.add("zone "+zone, "is no longer evacuated: its instances get requests again")
		}
	}
}

// lists adds a change for each entry that is in only one of two lists, or for their order.
func (c *comparison) lists(subject string, before, after []string) {
	same := true
	for _, entry := range after {
		if !slices.Contains(before, entry) {
			same = false
			c.add(subject, "added: %s", entry)
		}
	}
	for _, entry := range before {
		if !slices.Contains(after, entry) {
			same = false
			c.add(subject, "removed: %s", entry)
		}
	}
	if same && !slices.Equal(before, after) {
		c.add(subject, "the order has changed: %s", strings.Join(after, "; "))
	}
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
