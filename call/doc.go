// Package call holds the types that all parts of pomelodoor use for one request:
// its sender, what it is allowed to do, and its outcome.
//
// The outcome is a guarantee to the caller:
//
//	run      an upstream ran the request
//	notRun   no upstream ran the request or will run it; it can be resent safely
//	unknown  the request may have run, or may still run
package call
