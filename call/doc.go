// Package call holds the vocabulary that every part of pomelodoor shares about
// one request: who sent it, what it may do, and what became of it.
//
// The outcome is the promise made to the caller:
//
//	run      an upstream ran the request
//	notRun   no upstream ran it and none will; sending it again is safe
//	unknown  it may have run, or may still run
package call
