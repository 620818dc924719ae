package main

import (
	"expvar"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"pomelodoor.example/pomelodoor/daemon"
	"pomelodoor.example/pomelodoor/logline"
)

// logTime bounds the writing of the last log lines.
const logTime = 200 * time.Millisecond

// runDaemon runs until it is told to stop, then shuts down gracefully.
func runDaemon(settings *daemon.Settings, logTo io.Writer) error {
	if err := settings.Check(); err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	if settings.OnlyCheck {
		_, err := fmt.Fprintf(logTo, "good: settings of %s, service %s\n", settings.Instance, settings.Service)
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	lines := logline.New(logline.Config{To: logTo})
	defer lines.Close(logTime)
	d, err := daemon.Start(*settings, newLogger(settings, lines), daemon.Seams{Lines: lines})
	if err != nil {
		return fmt.Errorf("start the daemon: %w", err)
	}
	expvar.Publish("pomelodoor", d.Vars())
	waitForStop(stop, reload, d)
	if err := d.Shutdown(); err != nil {
		return fmt.Errorf("stop the daemon: %w", err)
	}
	return nil
}

// waitForStop returns with the first signal to stop. Settings are flags and do
// not change while a daemon runs, so a reload is only noted.
func waitForStop(stop, reload chan os.Signal, d *daemon.Daemon) {
	for {
		select {
		case <-stop:
			return
		case <-reload:
			d.NoteReload()
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
