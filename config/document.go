package config

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
)

// MaxDocumentBytes is the size limit of every document except the routes document.
// Documents are limited because each is sent to every daemon.
const MaxDocumentBytes = 64 << 10

// maxRevision is the largest integer that all JSON tools represent exactly,
// because many decode numbers as float64.
const maxRevision = 1<<53 - 1

// KeySwitches is the key of the switches document.
const KeySwitches = "switches"

const servicePrefix = "services/"

// KeyService returns the key of the document for the named service.
func KeyService(name string) string { return servicePrefix + name }

// ValidKey reports whether key is a valid document key.
func ValidKey(key string) bool {
	name, ok := strings.CutPrefix(key, servicePrefix)
	return key == KeySwitches || key == KeyRoutes || key == KeyZones || ok && checkService(name) == ""
}

// Kind is the type of a document.
type Kind string

// Document kinds.
const (
	KindService  Kind = "service"
	KindSwitches Kind = "switches"
	KindRoutes   Kind = "routes"
	KindZones    Kind = "zones"
)

// Document is a valid, parsed document. It is immutable and safe for concurrent
// use. The zero value represents the absence of a document.
type Document struct {
	key      string
	kind     Kind
	revision uint64
	hash     uint64 // digest as an integer
	digest   string
	raw      []byte
	service  *Service
	switches *Switches
	routes   *Routes
	zones    *Zones
}

// Key returns the document's key: "switches", "routes", "zones" or "services/NAME".
func (d Document) Key() string { return d.key }

// Kind returns the type of the document.
func (d Document) Kind() Kind { return d.kind }

// Revision returns the revision number set by the operator, at least 1, or at least 0 for
// routes.
func (d Document) Revision() uint64 { return d.revision }

// Digest returns the xxHash64 of the canonical form as 16 hex digits. Documents
// with equal digests have the same content.
func (d Document) Digest() string { return d.digest }

// Bytes returns the document's original text. The caller must not modify it.
func (d Document) Bytes() []byte { return d.raw }

// Service returns the content of a service document, or nil for other kinds.
func (d Document) Service() *Service { return d.service }

// Switches returns the content of a switches document, or nil for other kinds.
func (d Document) Switches() *Switches { return d.switches }

// Routes returns the content of a routes document, or nil for other kinds.
func (d Document) Routes() *Routes { return d.routes }

// Zones returns the content of a zones document, or nil for other kinds.
func (d Document) Zones() *Zones { return d.zones }

// Parse parses and validates one document. Any error is an *InvalidError that
// lists the faults found. file is used only to report the location of a fault.
func Parse(file string, data []byte) (Document, error) {
	return parse(file, "", data)
}

// ParseKey is like Parse but also rejects a document whose key differs from the
// key under which it was found.
func ParseKey(file, key string, data []byte) (Document, error) {
	return parse(file, key, data)
}

func parse(file, key string, data []byte) (Document, error) {
	r := &reader{file: file}
	if len(data) > MaxRoutesBytes {
		r.fault(1, "", "has %d bytes, at most %d are allowed", len(data), MaxRoutesBytes)
		return Document{}, r.err(0)
	}
	root, syntax := parseTree(data)
	if syntax != nil {
		r.fault(syntax.line, "", "%s", syntax.text)
		return Document{}, r.err(0)
	}
	if !r.requireKind(root, "", objectNode) {
		return Document{}, r.err(0)
	}
	if kind, _ := (object{node: root}).field("kind"); len(data) > MaxDocumentBytes && (kind == nil || kind.text != string(KindRoutes)) {
		r.fault(1, "", "has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
		return Document{}, r.err(0)
	}
	d := r.document(root)
	if key != "" && d.key != "" && d.key != key {
		r.fault(root.line, "", "belongs under the key %s, found under %q", d.key, truncate(key))
	}
	if err := r.err(d.revision); err != nil {
		return Document{}, err
	}
	d.hash = canonicalHash(root)
	d.digest = fmt.Sprintf("%016x", d.hash)
	d.raw = bytes.Clone(data)
	return d, nil
}

// document decodes the root object according to its kind.
func (r *reader) document(root *node) Document {
	o := object{r: r, node: root}
	d := Document{kind: Kind(o.text("kind", checkKind))}
	switch d.kind {
	case KindSwitches:
		d.switches = r.switches(root)
		d.key = KeySwitches
	case KindService:
		d.service = r.service(root)
		d.key = KeyService(d.service.name)
	case KindRoutes:
		d.routes = r.routes(root)
		d.key = KeyRoutes
	case KindZones:
		d.zones = r.zones(root)
		d.key = KeyZones
	}
	if _, ok := o.field("revision"); !ok {
		r.fault(root.line, "revision", "is missing")
	}
	d.revision = o.integer("revision", minRevision(d.kind), maxRevision, 0)
	return d
}

// minRevision returns the lowest revision. That of a routes document may be the version
// of another platform's configuration, which may begin at 0.
func minRevision(kind Kind) uint64 {
	if kind == KindRoutes {
		return 0
	}
	return 1
}

func checkKind(text string) string {
	switch Kind(text) {
	case KindService, KindSwitches, KindRoutes, KindZones:
		return ""
	}
	return "is an unknown kind, want service, switches, routes or zones"
}

// Version returns the position of d among documents with the same key, for
// callers that can only compare numbers. Comparing major, then minor, gives the
// same order as Newer as long as no two digests share their upper 56 bits. major
// is the revision. The upper 8 bits of minor hold the number of actions that a
// switches document denies, or of zones that a zones document evacuates, the lower
// 56 bits the upper bits of the digest.
func (d Document) Version() (major, minor uint64) {
	const cautionBits = 8
	caution := 0
	switch {
	case d.switches != nil:
		caution = len(actions) - d.switches.count()
	case d.zones != nil:
		caution = len(d.zones.evacuated)
	}
	minor = d.hash>>cautionBits | uint64(caution)<<(64-cautionBits)
	return d.revision, minor
}

// Newer reports whether a takes precedence over b, a document with the same
// key. The higher revision wins. If two operators used the same revision, the
// switches document that allows fewer actions wins, or the zones document that
// evacuates more zones, then the higher digest. For service documents any fixed order
// works, provided all daemons use the same.
func Newer(a, b Document) bool {
	aMajor, aMinor := a.Version()
	bMajor, bMinor := b.Version()
	return cmp.Or(
		cmp.Compare(aMajor, bMajor),
		cmp.Compare(aMinor, bMinor),
		cmp.Compare(a.hash, b.hash),
	) > 0
}
