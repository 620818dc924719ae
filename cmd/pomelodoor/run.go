package main

import (
	"expvar"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"pomelodoor.example/pomelodoor/daemon"
	"pomelodoor.example/pomelodoor/logline"
	"pomelodoor.example/pomelodoor/memory"
)

// logFlushTimeout limits the time for writing the last log lines.
const logFlushTimeout = 200 * time.Millisecond

// runDaemon runs the daemon until a signal to stop, then shuts it down gracefully.
func runDaemon(settings *daemon.Settings, logTo io.Writer) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	if settings.CheckOnly {
		_, err := fmt.Fprintf(logTo, "good: settings of %s, service %s\n", settings.Instance, settings.Service)
		return err
	}
	if limit := memory.RuntimeBytes(settings.MemoryMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	lineLimiter := logline.New(logline.Config{To: logTo})
	defer lineLimiter.Close(logFlushTimeout)
	d, err := daemon.Start(*settings, newLogger(settings, lineLimiter), daemon.Overrides{LineLimiter: lineLimiter})
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	expvar.Publish("pomelodoor", d.Vars())
	waitForStop(stop, reload, d)
	if err := d.Shutdown(); err != nil {
		return fmt.Errorf("shut down daemon: %w", err)
	}
	return nil
}

// waitForStop returns after the first signal to stop. Settings are flags and cannot
// change while a daemon runs, so a reload signal is only logged.
func waitForStop(stop, reload chan os.Signal, d *daemon.Daemon) {
	for {
		select {
		case <-stop:
			return
		case <-reload:
			d.LogReloadIgnored()
		}
	}
}

func newLogger(settings *daemon.Settings, to io.Writer) *log.Logger {
	options := log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	// Settings.Check has accepted the level.
	options.Level, _ = log.ParseLevel(settings.LogLevel)
	if settings.LogFormat == "json" {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(to, options)
}
