// Package daemon is the wiring of one pomelodoor process. It feeds package node
// with messages from sockets and timers, and carries its commands out.
//
//	settings, err := daemon.ParseSettings(args)
//	d, err := daemon.Start(settings, logger)
//	<-interrupted
//	d.Shutdown(ctx)
package daemon
