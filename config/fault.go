package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid is wrapped by every error that Parse returns.
var ErrInvalid = errors.New("invalid document")

// maxFaults is the maximum number of faults recorded for one document.
const maxFaults = 100

// Fault is a single validation error in a document.
type Fault struct {
	// File is the file name passed to Parse.
	File string `json:"file"`
	// Line is the line number, starting at 1.
	Line int `json:"line"`
	// Field is the path of the field, such as selectors[1].callers[0], or
	// "document" for a fault of the whole document.
	Field string `json:"field"`
	// Text describes the problem.
	Text string `json:"text"`
}

// String returns the fault as file:line: field: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Text)
}

// InvalidError is the error returned by Parse. It holds the faults of a document
// and, if readable, its revision.
type InvalidError struct {
	faults   []Fault
	revision uint64
}

// Faults returns the faults in line order.
func (e *InvalidError) Faults() []Fault { return slices.Clone(e.faults) }

// Revision returns the revision of the rejected document, or 0 if it could not
// be read.
func (e *InvalidError) Revision() uint64 { return e.revision }

// Error returns the first fault and the number of further faults.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("%v: %v", ErrInvalid, e.faults[0])
	if more := len(e.faults) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// FormatFaults returns one line for each fault in err, including wrapped and
// joined errors. If err holds no faults it returns the text of err, and for a nil
// err the empty string.
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

// faultsOf returns the faults of every InvalidError that err wraps.
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
