package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Status is a summary of a Set that operators compare between daemons. It is
// sent as JSON.
type Status struct {
	// SwitchesRevision is 0 and SwitchesDigest is empty if there is no switches
	// document.
	SwitchesRevision uint64 `json:"switchesRevision"`
	SwitchesDigest   string `json:"switchesDigest"`
	AllOff           bool   `json:"allOff"`
	// Confirmed is false until the daemon has compared its documents with other
	// daemons. Until then no action is allowed.
	Confirmed bool `json:"confirmed"`
	// Allowed lists the actions that are currently allowed.
	Allowed   []Action `json:"allowed"`
	Documents int      `json:"documents"`
	// EvacuatedZones lists the zones that the zones document evacuates.
	EvacuatedZones []string `json:"evacuatedZones"`
	// Summary is Set.Summary in hex.
	Summary   string      `json:"summary"`
	Conflicts []Conflict  `json:"conflicts"`
	Refused   []Rejection `json:"refused"`
}

// Status returns the current status of the set.
func (s *Set) Status() Status {
	switches := s.documents[KeySwitches]
	return Status{
		SwitchesRevision: switches.revision,
		SwitchesDigest:   switches.digest,
		AllOff:           s.switches != nil && s.switches.allOff,
		Confirmed:        s.confirmed,
		Allowed:          slices.DeleteFunc(Actions(), func(a Action) bool { return !s.Allowed(a) }),
		Documents:        len(s.documents),
		EvacuatedZones:   s.EvacuatedZones(),
		Summary:          fmt.Sprintf("%016x", s.summary),
		Conflicts:        s.Conflicts(),
		Refused:          s.Rejections(),
	}
}

// switchesText describes the switches in force. It must be the same on all
// daemons before operators can rely on a switch.
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

// Group is a set of daemons with the same switches and documents.
type Group struct {
	// Switches describes the switches in force. Summary identifies the documents
	// in force.
	Switches  string `json:"switches"`
	Documents int    `json:"documents"`
	Summary   string `json:"summary"`
	// Evacuated lists the zones that the zones document in force evacuates.
	Evacuated []string `json:"evacuated,omitempty"`
	Instances []string `json:"instances"`
}

// Comparison groups daemons by what they hold, the largest group first.
type Comparison struct {
	Groups []Group `json:"groups"`
	// Notes lists rejected documents and conflicts with the instances that report
	// them.
	Notes []Note `json:"notes"`
}

// Note is a fault or conflict and the instances that report it.
type Note struct {
	Text      string   `json:"text"`
	Instances []string `json:"instances"`
}

// Compare groups daemons by their status. The keys of statuses are instance
// names.
func Compare(statuses map[string]Status) Comparison {
	groups := make(map[string]*Group)
	notes := make(map[string]*Note)
	for _, instance := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[instance]
		id := s.switchesText() + " " + s.Summary
		if groups[id] == nil {
			groups[id] = &Group{Switches: s.switchesText(), Documents: s.Documents, Summary: s.Summary, Evacuated: s.EvacuatedZones}
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

// notes returns one line for each conflict and each fault.
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

// Same reports whether all daemons hold the same switches and documents.
func (c Comparison) Same() bool { return len(c.Groups) <= 1 }

// String returns one line for each group and each note. For groups after the
// first, which differ from the largest group, it lists up to ten instances.
func (c Comparison) String() string {
	var b strings.Builder
	for i, g := range c.Groups {
		fmt.Fprintf(&b, "%d instances: %s, %d documents, summary %s", len(g.Instances), g.Switches, g.Documents, g.Summary)
		if len(g.Evacuated) > 0 {
			fmt.Fprintf(&b, ", evacuated %s", strings.Join(g.Evacuated, " "))
		}
		if i > 0 {
			fmt.Fprintf(&b, ": %s", abbreviate(g.Instances))
		}
		fmt.Fprintln(&b)
	}
	for _, n := range c.Notes {
		fmt.Fprintf(&b, "%s (%d instances: %s)\n", n.Text, len(n.Instances), abbreviate(n.Instances))
	}
	return b.String()
}

// abbreviate returns the first ten names and the number of remaining ones.
func abbreviate(names []string) string {
	const maxNames = 10
	if len(names) <= maxNames {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], " "), len(names)-maxNames)
}
