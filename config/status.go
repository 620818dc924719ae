package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Status is what a Set holds, as operators compare it between daemons. It is
// sent as JSON.
type Status struct {
	// SwitchesRevision is 0 and SwitchesDigest empty without a switches
	// document.
	SwitchesRevision uint64 `json:"switchesRevision"`
	SwitchesDigest   string `json:"switchesDigest"`
	AllOff           bool   `json:"allOff"`
	// Confirmed is false while the daemon has yet to compare with others; no
	// action is allowed until then.
	Confirmed bool `json:"confirmed"`
	// Allowed lists the actions that the daemon takes now.
	Allowed   []Action `json:"allowed"`
	Documents int      `json:"documents"`
	// Summary is Set.Summary in hex.
	Summary   string      `json:"summary"`
	Conflicts []Conflict  `json:"conflicts"`
	Refused   []Rejection `json:"refused"`
}

// Status returns what the set holds.
func (s *Set) Status() Status {
	switches := s.documents[KeySwitches]
	return Status{
		SwitchesRevision: switches.revision,
		SwitchesDigest:   switches.digest,
		AllOff:           s.switches != nil && s.switches.allOff,
		Confirmed:        s.confirmed,
		Allowed:          slices.DeleteFunc(Actions(), func(a Action) bool { return !s.Allowed(a) }),
		Documents:        len(s.documents),
		Summary:          fmt.Sprintf("%016x", s.summary),
		Conflicts:        s.Conflicts(),
		Refused:          s.Faults(),
	}
}

// switchesText returns the part of the status that must be the same
// everywhere before operators can trust a switch.
func (s Status) switchesText() string {
	text := fmt.Sprintf("switches revision %d digest %s", s.SwitchesRevision, s.SwitchesDigest)
	if s.SwitchesRevision == 0 {
		text = "no switches"
	}
	if !s.Confirmed {
		text += ", not confirmed"
	}
	if len(s.Allowed) == 0 {
		return text + ", all actions off"
	}
	names := make([]string, 0, len(s.Allowed))
	for _, a := range s.Allowed {
		names = append(names, string(a))
	}
	return text + ", on: " + strings.Join(names, " ")
}

// Group is a set of daemons that hold the same.
type Group struct {
	// Switches says which switches are in force, and Summary what documents.
	Switches  string   `json:"switches"`
	Documents int      `json:"documents"`
	Summary   string   `json:"summary"`
	Instances []string `json:"instances"`
}

// Comparison says which daemons hold the same, the largest group first.
type Comparison struct {
	Groups []Group `json:"groups"`
	// Notes tells of refused documents and conflicts, with the instances that
	// know of them.
	Notes []Note `json:"notes"`
}

// Note is a fault or conflict that some daemons report.
type Note struct {
	Text      string   `json:"text"`
	Instances []string `json:"instances"`
}

// Compare groups the statuses of daemons, by the name of their instances.
func Compare(statuses map[string]Status) Comparison {
	groups := make(map[string]*Group)
	notes := make(map[string]*Note)
	for _, instance := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[instance]
		id := s.switchesText() + " " + s.Summary
		if groups[id] == nil {
			groups[id] = &Group{Switches: s.switchesText(), Documents: s.Documents, Summary: s.Summary}
		}
		groups[id].Instances = append(groups[id].Instances, instance)
		for _, text := range s.notes() {
			if notes[text] == nil {
				notes[text] = &Note{Text: text}
			}
			notes[text].Instances = append(notes[text].Instances, instance)
		}
	}
	var c Comparison
	for _, id := range slices.Sorted(maps.Keys(groups)) {
		c.Groups = append(c.Groups, *groups[id])
	}
	slices.SortStableFunc(c.Groups, func(x, y Group) int { return len(y.Instances) - len(x.Instances) })
	for _, text := range slices.Sorted(maps.Keys(notes)) {
		c.Notes = append(c.Notes, *notes[text])
	}
	return c
}

// notes returns one text for each conflict and each fault.
func (s Status) notes() []string {
	var texts []string
	for _, c := range s.Conflicts {
		texts = append(texts, fmt.Sprintf("conflict: %s revision %d was written twice, %s is in force, %s is not",
			c.Key, c.Revision, c.InForce, c.Refused))
	}
	for _, r := range s.Refused {
		for _, f := range r.Faults {
			texts = append(texts, fmt.Sprintf("refused: %s: %v", r.Key, f))
		}
	}
	return texts
}

// Same reports whether all daemons hold the same.
func (c Comparison) Same() bool { return len(c.Groups) <= 1 }

// String returns one line for each group and note. Groups after the first,
// which differ from most daemons, name up to ten of their instances.
func (c Comparison) String() string {
	var b strings.Builder
	for i, g := range c.Groups {
		fmt.Fprintf(&b, "%d instances: %s, %d documents, summary %s", len(g.Instances), g.Switches, g.Documents, g.Summary)
		if i > 0 {
			fmt.Fprintf(&b, ": %s", some(g.Instances))
		}
		fmt.Fprintln(&b)
	}
	for _, n := range c.Notes {
		fmt.Fprintf(&b, "%s (%d instances: %s)\n", n.Text, len(n.Instances), some(n.Instances))
	}
	return b.String()
}

// some returns the first ten names and the number of the others.
func some(names []string) string {
	const most = 10
	if len(names) <= most {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:most], " "), len(names)-most)
}
