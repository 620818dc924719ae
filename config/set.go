package config

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRejections bounds the keys for which a Set remembers a refused document.
const maxRejections = 64

// Set holds the newest document of each key. It only moves forward by Newer,
// so that sets that were given the same documents, in any order and any number
// of times, are equal. It is not safe for use by goroutines at once; the
// documents that it returns are.
type Set struct {
	documents map[string]Document
	services  map[string]*Service
	switches  *Switches
	routes    *Routes
	// undocumented holds the services that only the routes document names.
	undocumented map[string]*Service
	confirmed    bool
	summary      uint64
	conflicts    map[string]Conflict
	rejected     map[string]Rejection
}

// NewSet returns a set with no document, in which no action is allowed.
func NewSet() *Set {
	return &Set{
		documents: make(map[string]Document),
		services:  make(map[string]*Service),
		conflicts: make(map[string]Conflict),
		rejected:  make(map[string]Rejection),
	}
}

// Apply puts d in force if it is newer than the document of its key. The
// second result reports that two different documents carry one revision, which
// happens when operators race.
func (s *Set) Apply(d Document) (changed, conflict bool) {
	if d.revision == 0 {
		return false, false
	}
	old, ok := s.documents[d.key]
	conflict = ok && old.revision == d.revision && old.digest != d.digest
	changed = !ok || Newer(d, old)
	if changed {
		s.put(old, d)
	}
	if conflict {
		s.conflict(old, d)
	}
	if r, ok := s.rejected[d.key]; ok && settles(d, r, changed) {
		delete(s.rejected, d.key)
	}
	return changed, conflict
}

// put replaces old, which may be no document, by d.
func (s *Set) put(old, d Document) {
	s.summary += d.summary() - old.summary()
	s.documents[d.key] = d
	if d.service != nil {
		s.services[d.service.name] = d.service
	}
	if d.switches != nil {
		s.switches = d.switches
	}
	if d.routes != nil {
		s.routes = d.routes
		s.undocumented = undocumented(d.routes)
	}
	delete(s.conflicts, d.key)
}

// settles reports whether d makes up for the refused document r.
func settles(d Document, r Rejection, changed bool) bool {
	if r.Revision == 0 {
		return changed
	}
	return d.revision >= r.Revision
}

// Confirm allows the actions that the switches allow. It is called once the
// daemon has heard the documents of other daemons or knows that there are
// none: until then the switches may be those of a stale platform.
func (s *Set) Confirm() { s.confirmed = true }

// Doubt takes Confirm back, as after a pause in which news was missed. No
// document is taken out of force.
func (s *Set) Doubt() { s.confirmed = false }

// Confirmed reports whether Confirm was called since the last Doubt.
func (s *Set) Confirmed() bool { return s.confirmed }

// Allowed reports whether a is on in the switches in force. It is false before
// the first switches document and before Confirm.
func (s *Set) Allowed(a Action) bool {
	return s.confirmed && s.switches != nil && s.switches.Allows(a)
}

// Assume lets the actions be allowed for as long as no switches document has
// been applied.
func (s *Set) Assume(actions []Action) {
	if s.switches != nil {
		return
	}
	s.switches = &Switches{}
	for _, a := range actions {
		s.switches.allow |= a.bit()
	}
}

// Service returns the service called name. One without a document, which the
// routes name, has the defaults.
func (s *Set) Service(name string) (*Service, bool) {
	if svc, ok := s.services[name]; ok {
		return svc, true
	}
	svc, ok := s.undocumented[name]
	return svc, ok
}

// Routes returns the routes in force, or nil when there is no routes document.
func (s *Set) Routes() *Routes { return s.routes }

// undocumented returns a service with the defaults for each that routes name.
func undocumented(routes *Routes) map[string]*Service {
	services := make(map[string]*Service, len(routes.endpoints))
	for name, endpoint := range routes.endpoints {
		r := &reader{}
		root := &node{kind: objectNode, members: []member{
			{name: "service", value: &node{kind: textNode, text: name}},
		}}
		service := r.service(root)
		service.limits.connections = endpoint.connections
		service.limits.maxBody = routes.maxBody
		service.limits.timeout = maxTimeoutMs * time.Millisecond
		services[name] = service
	}
	return services
}

// Document returns the document in force under key.
func (s *Set) Document(key string) (Document, bool) {
	d, ok := s.documents[key]
	return d, ok
}

// Documents returns the documents in force, sorted by key.
func (s *Set) Documents() []Document {
	documents := make([]Document, 0, len(s.documents))
	for _, d := range s.documents {
		documents = append(documents, d)
	}
	slices.SortFunc(documents, func(x, y Document) int { return strings.Compare(x.key, y.key) })
	return documents
}

// Summary returns a hash over key, revision and digest of all documents, which
// is equal for equal sets. It is kept up to date by Apply and costs nothing to
// read.
func (s *Set) Summary() uint64 { return s.summary }

// summary returns what d adds to the summary of a set. Sums do not depend on
// the order, and can be taken back.
func (d Document) summary() uint64 {
	if d.revision == 0 {
		return 0
	}
	b := make([]byte, 0, 128)
	b = append(b, d.key...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, d.revision)
	b = append(b, d.digest...)
	return xxhash.Sum64(b)
}

// Conflict is a revision that two different documents carry.
type Conflict struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// InForce and Refused are digests.
	InForce string `json:"inForce"`
	Refused string `json:"refused"`
}

func (s *Set) conflict(old, d Document) {
	c := Conflict{Key: d.key, Revision: d.revision, InForce: old.digest, Refused: d.digest}
	if Newer(d, old) {
		c.InForce, c.Refused = d.digest, old.digest
	}
	s.conflicts[d.key] = c
}

// Conflicts returns the conflicts that this set has seen and that no higher
// revision has settled, sorted by key.
func (s *Set) Conflicts() []Conflict {
	conflicts := make([]Conflict, 0, len(s.conflicts))
	for _, c := range s.conflicts {
		conflicts = append(conflicts, c)
	}
	slices.SortFunc(conflicts, func(x, y Conflict) int { return strings.Compare(x.Key, y.Key) })
	return conflicts
}

// Rejection is a document that was refused. The last good one of its key stays
// in force.
type Rejection struct {
	Key  string    `json:"key"`
	File string    `json:"file"`
	At   time.Time `json:"at"`
	// Revision is 0 when it could not be read.
	Revision uint64  `json:"revision"`
	Faults   []Fault `json:"faults"`
}

// Reject remembers why the document under key was refused at now, in place of
// what was remembered for key before. An err that holds no faults is kept as
// one fault of the whole document.
func (s *Set) Reject(key, file string, err error, now time.Time) {
	r := Rejection{Key: key, File: file, At: now, Faults: faultsOf(err)}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		r.Revision = invalid.revision
	}
	if len(r.Faults) == 0 {
		r.Faults = []Fault{{File: file, Line: 1, Field: "document", Text: err.Error()}}
	}
	s.rejected[key] = r
	if len(s.rejected) > maxRejections {
		delete(s.rejected, s.oldestRejection())
	}
}

func (s *Set) oldestRejection() string {
	oldest := ""
	for key, r := range s.rejected {
		first, ok := s.rejected[oldest]
		if !ok || r.At.Before(first.At) || r.At.Equal(first.At) && key < oldest {
			oldest = key
		}
	}
	return oldest
}

// Forget drops what Reject remembered for key. It is called when the platform
// is seen to hold an accepted document there again.
func (s *Set) Forget(key string) { delete(s.rejected, key) }

// Faults returns the documents that were refused and not yet replaced by a
// good one of the same or a higher revision, sorted by key.
func (s *Set) Faults() []Rejection {
	rejections := make([]Rejection, 0, len(s.rejected))
	for _, r := range s.rejected {
		rejections = append(rejections, r)
	}
	slices.SortFunc(rejections, func(x, y Rejection) int { return strings.Compare(x.Key, y.Key) })
	return rejections
}
