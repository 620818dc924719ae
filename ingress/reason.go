package ingress

import (
	"github.com/ansel1/merry/v2"

	"pomelodoor.example/pomelodoor/call"
)

// errorKey is the type of the keys under which errors carry values.
type errorKey string

// reasonKey is the key of the reason that a caller is told.
const reasonKey errorKey = "reason"

// Reason returns the reason that an error of this package carries, or
// call.BadRequest.
func Reason(err error) call.Reason {
	if reason, ok := merry.Value(err, reasonKey).(call.Reason); ok {
		return reason
	}
	return call.BadRequest
}
