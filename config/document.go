package config

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
)

// MaxBytes bounds a document that is not of the kind routes, because each one
// travels to every daemon.
const MaxBytes = 64 << 10

// maxRevision is the largest whole number that every JSON tool keeps exact.
const maxRevision = 1<<53 - 1

// KeySwitches is the key of the switches document.
const KeySwitches = "switches"

const servicePrefix = "services/"

// KeyService returns the key of the document of the service name.
func KeyService(name string) string { return servicePrefix + name }

// CheckKey reports whether key is one that a document can have.
func CheckKey(key string) bool {
	name, ok := strings.CutPrefix(key, servicePrefix)
	return key == KeySwitches || key == KeyRoutes || ok && checkService(name) == ""
}

// Kind says what a document declares.
type Kind string

// The kinds of documents.
const (
	KindService  Kind = "service"
	KindSwitches Kind = "switches"
	KindRoutes   Kind = "routes"
)

// Document is one accepted document. It does not change after Parse, so that
// goroutines may share it. The zero value is no document.
type Document struct {
	key      string
	kind     Kind
	revision uint64
	sum      uint64 // the digest as a number
	digest   string
	raw      []byte
	service  *Service
	switches *Switches
	routes   *Routes
}

// Key returns "switches", "routes" or "services/NAME".
func (d Document) Key() string { return d.key }

// Kind returns what the document declares.
func (d Document) Kind() Kind { return d.kind }

// Revision returns the number that the operator wrote, 1 or more.
func (d Document) Revision() uint64 { return d.revision }

// Digest returns 16 hex digits of xxHash64 over the canonical form. Two
// documents with one digest declare the same.
func (d Document) Digest() string { return d.digest }

// Bytes returns the document as it was read. The caller must not change them.
func (d Document) Bytes() []byte { return d.raw }

// Service returns what a service document declares, or nil.
func (d Document) Service() *Service { return d.service }

// Switches returns what a switches document declares, or nil.
func (d Document) Switches() *Switches { return d.switches }

// Routes returns what a routes document declares, or nil.
func (d Document) Routes() *Routes { return d.routes }

// Parse reads one document. The error is an InvalidError with every fault that
// was found; file is only used to name the place of a fault.
func Parse(file string, data []byte) (Document, error) {
	return parse(file, "", data)
}

// ParseKey is Parse for a document that was found under key, and refuses one
// that belongs under another key.
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
	if !r.is(root, "", objectNode) {
		return Document{}, r.err(0)
	}
	if kind, _ := (object{node: root}).field("kind"); len(data) > MaxBytes && (kind == nil || kind.text != string(KindRoutes)) {
		r.fault(1, "", "has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return Document{}, r.err(0)
	}
	d := r.document(root)
	if key != "" && d.key != "" && d.key != key {
		r.fault(root.line, "", "belongs under the key %s, found under %q", d.key, clip(key))
	}
	if err := r.err(d.revision); err != nil {
		return Document{}, err
	}
	d.sum = digest(root)
	d.digest = fmt.Sprintf("%016x", d.sum)
	d.raw = bytes.Clone(data)
	return d, nil
}

// document reads the root object by its kind.
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
	}
	if _, ok := o.field("revision"); !ok {
		r.fault(root.line, "revision", "is missing")
	}
	d.revision = o.whole("revision", 1, maxRevision, 0)
	return d
}

func checkKind(text string) string {
	switch Kind(text) {
	case KindService, KindSwitches, KindRoutes:
		return ""
	}
	return "is no kind, want service, switches or routes"
}

// Order returns two numbers that order documents of one key as Newer does, for
// those who only compare numbers: the revision; and, for documents of one
// revision, how many actions switches deny in the upper 8 bits and the start of
// the digest in the others.
func (d Document) Order() (major, minor uint64) {
	const deniedBits = 8
	minor = d.sum >> deniedBits
	if d.switches != nil {
		denied := len(actions) - d.switches.count()
		minor |= uint64(denied) << (64 - deniedBits)
	}
	return d.revision, minor
}

// Newer reports whether a is in force in place of b, a document of the same
// key. The higher revision is. Where two operators used one revision it is the
// switches document that allows fewer actions, and then the higher digest: any
// fixed order will do for services, if only all daemons use the same.
func Newer(a, b Document) bool {
	aMajor, aMinor := a.Order()
	bMajor, bMinor := b.Order()
	return cmp.Or(
		cmp.Compare(aMajor, bMajor),
		cmp.Compare(aMinor, bMinor),
		cmp.Compare(a.sum, b.sum),
	) > 0
}
