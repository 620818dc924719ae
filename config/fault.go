package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid is wrapped by every error of Parse.
var ErrInvalid = errors.New("invalid document")

// maxFaults bounds the faults kept for one document.
const maxFaults = 100

// Fault is one thing wrong with a document.
type Fault struct {
	// File is the name that was given to Parse.
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is the path of the field, as in selectors[1].callers[0], or
	// "document" for the document as a whole.
	Field string `json:"field"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// String returns the fault as file:line: field: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Text)
}

// InvalidError is the error of Parse. It holds all faults of one document and
// what could still be read of its revision.
type InvalidError struct {
	faults   []Fault
	revision uint64
}

// Faults returns the faults in the order of their lines.
func (e *InvalidError) Faults() []Fault { return slices.Clone(e.faults) }

// Revision returns the revision of the refused document, or 0 when it could
// not be read.
func (e *InvalidError) Revision() uint64 { return e.revision }

// Error returns the first fault and the number of the others.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("%v: %v", ErrInvalid, e.faults[0])
	if more := len(e.faults) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// FormatFaults returns one line for each fault in err, which may be wrapped or
// joined, or the text of err when it holds none. A nil err gives no text.
func FormatFaults(err error) string {
	if err == nil {
		return ""
	}
	faults := faultsOf(err)
	if len(faults) == 0 {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// faultsOf collects the faults of every InvalidError that err wraps.
func faultsOf(err error) []Fault {
	var joined interface {
		error
		Unwrap() []error
	}
	if errors.As(err, &joined) {
		var faults []Fault
		for _, e := range joined.Unwrap() {
			faults = append(faults, faultsOf(e)...)
		}
		return faults
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.faults
	}
	return nil
}
