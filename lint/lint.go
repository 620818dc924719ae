package lint

import (
	"cmp"
	"fmt"
	"slices"

	"pomelodoor.example/pomelodoor/config"
)

// Severity says how serious a finding is.
type Severity string

// Severities.
const (
	// Good means that there are no findings.
	Good Severity = "good"
	// Warning marks a document that daemons accept, but that probably does not do what its
	// author intended.
	Warning Severity = "warning"
	// Error marks a document that daemons refuse or ignore.
	Error Severity = "error"
)

// Finding is a problem of a document and the place of it.
type Finding struct {
	config.Fault
	Severity Severity `json:"severity"`
}

// String returns the finding as file:line: field: text.
func (f Finding) String() string {
	if f.Severity == Warning {
		return fmt.Sprintf("%s:%d: %s: warning: %s", f.File, f.Line, f.Field, f.Text)
	}
	return f.Fault.String()
}

// Worst returns the most serious severity among findings.
func Worst(findings []Finding) Severity {
	worst := Good
	for _, f := range findings {
		if f.Severity == Error {
			return Error
		}
		worst = f.Severity
	}
	return worst
}

// Source is a document and the file that holds it.
type Source struct {
	File     string
	Document config.Document
}

// Input is what Check examines.
type Input struct {
	// Sources are the documents to check.
	Sources []Source
	// InForce are the documents that Sources replace or join.
	InForce []config.Document
	// Regions maps each availability zone to its region; nil if they are not known.
	Regions map[string]string
	// AccountBytes is the memory that a daemon has for bodies; 0 if it is not known.
	AccountBytes int64
}

// Check returns the findings about the sources, in the order of the sources and their
// lines.
func Check(in Input) []Finding {
	c := &checker{Input: in, set: config.NewSet()}
	replacedBy := c.applyDocuments()
	c.reached = reached(c.set.Routes())
	for i, source := range in.Sources {
		c.source = source
		c.document(replacedBy[i])
	}
	return c.findings
}

// checker collects the findings of Check.
type checker struct {
	Input
	// set holds the documents as they would be in force.
	set *config.Set
	// reached holds the services that the routes of set lead to.
	reached  map[string]bool
	source   Source
	findings []Finding
}

// applyDocuments fills the set with the sources, and with the documents in force that no source
// replaces. It returns for each source the file that replaces it, or "".
func (c *checker) applyDocuments() []string {
	// newest is the index of the source that is in the set for a key.
	newest := map[string]int{}
	replacedBy := make([]string, len(c.Sources))
	for i, s := range c.Sources {
		key := s.Document.Key()
		other, repeated := newest[key]
		if changed, _ := c.set.Apply(s.Document); !changed {
			replacedBy[i] = c.Sources[other].File
			continue
		}
		if repeated {
			replacedBy[other] = s.File
		}
		newest[key] = i
	}
	for _, d := range c.InForce {
		if _, checked := newest[d.Key()]; !checked {
			c.set.Apply(d)
		}
	}
	return replacedBy
}

// document checks one source. A source that another file replaces is not examined further.
func (c *checker) document(replacedBy string) {
	first := len(c.findings)
	d := c.source.Document
	root := d.Root()
	if replacedBy == "" {
		c.revision(root)
		c.content(d, root)
	} else {
		c.warn(root.Field("revision"), "%s holds the same key %s, and only that document would be in force", replacedBy, d.Key())
	}
	slices.SortStableFunc(c.findings[first:], func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
}

func (c *checker) content(d config.Document, root config.Element) {
	switch d.Kind() {
	case config.KindRoutes:
		c.routes(d.Routes(), root)
	case config.KindService:
		c.service(d.Service(), root)
	case config.KindZones:
		c.zones(d.Zones(), root)
	case config.KindSwitches:
		c.switches(d.Switches(), root)
	}
}

// revision reports a document that cannot replace the one in force.
func (c *checker) revision(root config.Element) {
	d := c.source.Document
	for _, old := range c.InForce {
		if old.Key() != d.Key() {
			continue
		}
		switch at := root.Field("revision"); {
		case d.Revision() < old.Revision():
			c.add(Error, at, "is %d, and %d is in force: daemons would ignore this document", d.Revision(), old.Revision())
		case d.Revision() == old.Revision() && d.Digest() != old.Digest():
			c.add(Error, at, "is %d, as that in force, but the content differs: use the next revision", d.Revision())
		}
	}
}

func (c *checker) warn(at config.Element, format string, args ...any) {
	c.add(Warning, at, format, args...)
}

func (c *checker) add(severity Severity, at config.Element, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Fault: config.Fault{
		File: c.source.File, Line: at.Line(), Field: cmp.Or(at.Path(), "document"), Text: fmt.Sprintf(format, args...),
	}})
}
