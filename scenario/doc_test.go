// Package scenario runs test scripts against daemons on loopback. Each daemon is
// a process of its own; the platform, the workers and the callers come from
// package standin. Each script in testdata is a separate test.
//
// The commands besides those of testscript are:
//
//	start SERVICE N [links]    start N workers with a daemon each, in zones a, b, c
//	publish KEY FILE           publish a document as an operator
//	platform FAULT on|off      set a platform fault: stale, outage, hang or behind;
//	                           mark saves the state that behind serves
//	call KIND [OPTION=VALUE]   send a lookup, order, upload or poison, or mixed load
//	join NAME                  wait for the call started with bg=NAME
//	sleep DURATION             wait
//	freeze ID, thaw ID         pause and resume the process of a daemon
//	abort ID, end ID           send SIGKILL or SIGTERM to a daemon
//	restart ID                 restart a daemon with the same settings
//	replace ID NEW             start a new daemon and worker on the same addresses
//	drain ID, slow ID FACTOR   drain a worker, or slow it down
//	fail ID on|off             make a worker fail each request at once
//	cut ID off|blackHole|reset cut the link between a daemon and its worker
//	                           (of a service started with links), or restore it
//	expect WHAT ...            check an expectation, see expect_test.go
//
// An ID of the form home:NAME means the daemon that issued the key NAME.
//
// A call prints one line per send: verdict, outcome, reason, status, worker and
// fault. The last command of each script is expect promises, which checks the
// whole history.
package scenario
