package config

import (
	"encoding/binary"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRejections is the maximum number of rejections that a Set keeps, one for
// each key.
const maxRejections = 64

// Set holds the newest document for each key. A document is replaced only by one
// that is Newer, so sets converge when the same documents are applied, in any
// order and any number of times. A Set is not safe for concurrent use; the
// documents it returns are.
type Set struct {
	documents map[string]Document
	services  map[string]*Service
	switches  *Switches
	routes    *Routes
	zones     *Zones
	// defaultServices holds a service with default settings for each service in
	// the routes document.
	defaultServices map[string]*Service
	confirmed       bool
	summary         uint64
	conflicts       map[string]Conflict
	rejected        map[string]Rejection
}

// NewSet returns an empty set, which allows no action.
func NewSet() *Set {
	return &Set{
		documents: make(map[string]Document),
		services:  make(map[string]*Service),
		conflicts: make(map[string]Conflict),
		rejected:  make(map[string]Rejection),
	}
}

// Apply puts d in force if it is newer than the current document with its key.
// conflict reports whether the two have the same revision but different content,
// which happens when operators write concurrently.
func (s *Set) Apply(d Document) (changed, conflict bool) {
	if d.key == "" {
		return false, false
	}
	old, ok := s.documents[d.key]
	conflict = ok && old.revision == d.revision && old.digest != d.digest
	changed = !ok || Newer(d, old)
	if changed {
		s.replace(old, d)
	}
	if conflict {
		s.recordConflict(old, d)
	}
	if r, ok := s.rejected[d.key]; ok && resolvesRejection(d, r, changed) {
		delete(s.rejected, d.key)
	}
	return changed, conflict
}

// replace replaces old with d. old may be the zero Document.
func (s *Set) replace(old, d Document) {
	s.summary += d.summaryTerm() - old.summaryTerm()
	s.documents[d.key] = d
	if d.service != nil {
		s.services[d.service.name] = d.service
	}
	if d.switches != nil {
		s.switches = d.switches
	}
	if d.routes != nil {
		s.routes = d.routes
		s.defaultServices = newDefaultServices(d.routes)
	}
	if d.zones != nil {
		s.zones = d.zones
	}
	delete(s.conflicts, d.key)
}

// resolvesRejection reports whether d supersedes the rejected document r. If the
// revision of r is unknown, any document that comes into force does.
func resolvesRejection(d Document, r Rejection, changed bool) bool {
	if r.Revision == 0 {
		return changed
	}
	return d.revision >= r.Revision
}

// Confirm enables the actions that the switches allow. It is called once the
// daemon has received the documents of other daemons or knows that there are
// none. Until then the switches may come from a stale platform.
func (s *Set) Confirm() { s.confirmed = true }

// Unconfirm undoes Confirm, for example after a pause in which updates were missed.
// All documents stay in force.
func (s *Set) Unconfirm() { s.confirmed = false }

// Confirmed reports whether Confirm has been called since the last Unconfirm.
func (s *Set) Confirmed() bool { return s.confirmed }

// Allowed reports whether the switches in force allow a. It is false until
// Confirm is called, and until a switches document or Assume provides switches.
func (s *Set) Allowed(a Action) bool {
	return s.confirmed && s.switches != nil && s.switches.Allows(a)
}

// Assume allows actions until a switches document is applied. It has no effect
// if switches are already set.
func (s *Set) Assume(actions []Action) {
	if s.switches != nil {
		return
	}
	s.switches = &Switches{}
	for _, a := range actions {
		s.switches.allow |= a.bit()
	}
}

// Service returns the service with the given name. A service that appears only
// in the routes document has default settings, apart from those that the routes
// document sets.
func (s *Set) Service(name string) (*Service, bool) {
	if svc, ok := s.services[name]; ok {
		return svc, true
	}
	svc, ok := s.defaultServices[name]
	return svc, ok
}

// Routes returns the routes in force, or nil if there is no routes document.
func (s *Set) Routes() *Routes { return s.routes }

// EvacuatedZones returns the zones that the zones document in force evacuates, sorted.
func (s *Set) EvacuatedZones() []string {
	if s.zones == nil {
		return nil
	}
	return s.zones.Evacuated()
}

// newDefaultServices returns a service with default settings for each service
// that routes lists. Its connections and body size limit come from routes, and
// its timeout is the longest one allowed.
func newDefaultServices(routes *Routes) map[string]*Service {
	services := make(map[string]*Service, len(routes.upstreamSettings))
	for name, settings := range routes.upstreamSettings {
		r := &reader{}
		root := &node{kind: objectNode, members: []member{
			{name: "service", value: &node{kind: stringNode, text: name}},
		}}
		service := r.service(root)
		service.limits.connections = settings.connections
		service.limits.maxBody = routes.maxBody
		service.limits.timeout = maxTimeoutMs * time.Millisecond
		services[name] = service
	}
	return services
}

// Document returns the document in force for key.
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

// Summary returns a hash of the keys, revisions and digests of all documents in
// force. Equal sets have equal summaries. Apply maintains it, so that reading it
// is cheap.
func (s *Set) Summary() uint64 { return s.summary }

// summaryTerm returns the value that d adds to the summary of a set. The summary
// is a sum because that is independent of order and a term can be subtracted
// again.
func (d Document) summaryTerm() uint64 {
	if d.key == "" {
		return 0
	}
	b := make([]byte, 0, 128)
	b = append(b, d.key...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint64(b, d.revision)
	b = append(b, d.digest...)
	return xxhash.Sum64(b)
}

// Conflict describes two different documents with the same key and revision.
type Conflict struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// InForce and Refused are the digests of the two documents.
	InForce string `json:"inForce"`
	Refused string `json:"refused"`
}

func (s *Set) recordConflict(old, d Document) {
	c := Conflict{Key: d.key, Revision: d.revision, InForce: old.digest, Refused: d.digest}
	if Newer(d, old) {
		c.InForce, c.Refused = d.digest, old.digest
	}
	s.conflicts[d.key] = c
}

// Conflicts returns the unresolved conflicts that this set has observed, sorted
// by key. A higher revision resolves a conflict.
func (s *Set) Conflicts() []Conflict {
	conflicts := make([]Conflict, 0, len(s.conflicts))
	for _, c := range s.conflicts {
		conflicts = append(conflicts, c)
	}
	slices.SortFunc(conflicts, func(x, y Conflict) int { return strings.Compare(x.Key, y.Key) })
	return conflicts
}

// Rejection describes a rejected document. The last valid document with its key
// stays in force.
type Rejection struct {
	Key  string    `json:"key"`
	File string    `json:"file"`
	At   time.Time `json:"at"`
	// Revision is 0 if it could not be read.
	Revision uint64  `json:"revision"`
	Faults   []Fault `json:"faults"`
}

// Reject records that the document found under key was rejected because of err.
// It replaces an earlier rejection for key. An err without faults is recorded as
// one fault of the whole document. If there are too many rejections, the oldest
// one is dropped.
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
		current, ok := s.rejected[oldest]
		if !ok || r.At.Before(current.At) || r.At.Equal(current.At) && key < oldest {
			oldest = key
		}
	}
	return oldest
}

// ClearRejection drops the rejection recorded for key. It is meant for when the
// platform holds a valid document under key again.
func (s *Set) ClearRejection(key string) { delete(s.rejected, key) }

// Rejections returns the rejected documents that have not been superseded by a
// valid one of the same or a higher revision, sorted by key.
func (s *Set) Rejections() []Rejection {
	rejections := make([]Rejection, 0, len(s.rejected))
	for _, r := range s.rejected {
		rejections = append(rejections, r)
	}
	slices.SortFunc(rejections, func(x, y Rejection) int { return strings.Compare(x.Key, y.Key) })
	return rejections
}
