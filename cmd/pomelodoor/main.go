// Command pomelodoor is the daemon that runs beside each upstream instance, and
// the tool for operators.
//
//	pomelodoor run --instance faults-1 ...   the daemon
//	pomelodoor check FILE...                 checks documents before they are published
//	pomelodoor explain --caller NAME FILE    which upstreams serve a caller
//	pomelodoor status ADMIN...               status and documents of running daemons
//	pomelodoor trace --request ID LOG...     timeline of one request
//	pomelodoor burn ADMIN...                 service-level burn of running daemons
//	pomelodoor version
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"pomelodoor.example/pomelodoor/daemon"
)

// The exit codes.
const (
	exitOK = 0
	// exitFault means that a command found faults. For check it means warnings without errors.
	exitFault = 1
	// exitUsage means wrong arguments or settings. For check it also means errors in documents.
	exitUsage = 2
)

// errFault is returned by a command that completed and found faults, which it has
// printed.
var errFault = errors.New("faults found")

type arguments struct {
	Run     *daemon.Settings `arg:"subcommand:run" help:"run the daemon beside an upstream"`
	Check   *checkCommand    `arg:"subcommand:check" help:"check documents before they are published"`
	Explain *explainCommand  `arg:"subcommand:explain" help:"show which upstreams serve a caller"`
	Status  *statusCommand   `arg:"subcommand:status" help:"show what is in force at running daemons"`
	Trace   *traceCommand    `arg:"subcommand:trace" help:"tell the story of one request from the logs of daemons"`
	Burn    *burnCommand     `arg:"subcommand:burn" help:"show the service-level burn of running daemons"`
	Version *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text that is printed above the help.
func (arguments) Description() string {
	return "pomelodoor balances load between servers whose load shifts in milliseconds.\n"
}

func main() {
	unsetPlaceholders()
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "pomelodoor", Out: errOut}, &a)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "pomelodoor: %v\n", err)
		return exitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintf(errOut, "pomelodoor: %v\n", err)
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return exitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(errOut)
		return exitUsage
	}
	return exitCode(dispatch(&a, out, errOut), errOut)
}

func dispatch(a *arguments, out, errOut io.Writer) error {
	switch {
	case a.Run != nil:
		return runDaemon(a.Run, out)
	case a.Check != nil:
		return a.Check.run(out)
	case a.Explain != nil:
		return a.Explain.run(out)
	case a.Status != nil:
		return a.Status.run(out)
	case a.Trace != nil:
		return a.Trace.run(out)
	case a.Burn != nil:
		return a.Burn.run(out)
	}
	return a.Version.run(out)
}

// exitCode prints an error, unless the command has done so, and returns the exit code
// for it.
func exitCode(err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFault):
		return exitFault
	case errors.Is(err, errRefused):
		return exitUsage
	case errors.Is(err, daemon.ErrSettings), errors.Is(err, errCheck):
		_, _ = fmt.Fprintf(errOut, "pomelodoor: %v\n", err)
		return exitUsage
	}
	_, _ = fmt.Fprintf(errOut, "pomelodoor: %v\n", err)
	return exitFault
}
