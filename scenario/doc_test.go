// Package scenario runs scripts against real daemons on loopback: one process
// for each daemon, with the platform, the workers and the callers of package
// standin around them. Each script in testdata is a test of its own.
//
// The commands besides those of testscript are:
//
//	start SERVICE N [links]    N workers with a daemon each, in zones a, b and c
//	publish KEY FILE           an operator's document
//	platform FAULT on|off      stale, outage, hang, or behind what mark remembered
//	call KIND [OPTION=VALUE]   lookup, order, upload, poison, or mixed load
//	join NAME                  wait for a call that was given bg=NAME
//	sleep DURATION
//	freeze ID, thaw ID         pause a daemon's process, and let it go on
//	abort ID, end ID           SIGKILL and SIGTERM to a daemon
//	restart ID                 a new process with the settings of the old one
//	replace ID NEW             a new daemon and worker on the old addresses
//	drain ID, slow ID FACTOR   a worker that drains, or slows down
//	fail ID on|off             a worker that fails each request at once
//	cut ID off|blackHole|reset the link between a daemon and its worker
//	                           (of a service started with links)
//	expect WHAT ...            see expectations in expect_test.go
//
// An ID may be home:NAME, the daemon that issued the key of that name.
//
// A call prints one line for each sending: verdict, outcome, reason, status
// and worker. The last command of each script is expect promises, which checks
// the whole history.
package scenario
