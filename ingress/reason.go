package ingress

import (
	"github.com/ansel1/merry/v2"

	"pomelodoor.example/pomelodoor/call"
)

// errorValueKey is the type of the keys for values attached to errors.
type errorValueKey string

// reasonKey is the key of the reason reported to the caller.
const reasonKey errorValueKey = "reason"

// Reason returns the reason attached to an error of this package, or call.BadRequest.
func Reason(err error) call.Reason {
	if reason, ok := merry.Value(err, reasonKey).(call.Reason); ok {
		return reason
	}
	return call.BadRequest
}
