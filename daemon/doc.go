// Package daemon runs a pomelodoor daemon. It passes messages from sockets and
// timers to package node and executes the commands that node returns.
//
// The pace of an upstream is its current processing time in percent of nominal.
//
//	d, err := daemon.Start(settings, logger, daemon.Overrides{})
//	if err != nil {
//		return err
//	}
//	<-interrupted
//	err = d.Shutdown()
package daemon
