// Command standins plays the cases of the review that are scripts: it starts the
// daemons of a small deployment as processes, with stand-ins of the store, the workers
// and the clients around them, and checks the rules from what those see.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A caseRun plays one case against a running fleet and names the rule that it breaks. With
// trouble false it does the same without the disruption.
type caseRun struct {
	rule string
	play func(f *fleet, trouble bool) error
}

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]caseRun{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: standins CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(c, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func runCase(c caseRun, root, folder string, trouble bool) int {
	rec, err := newRecorder(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	logs, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(logs) }()
	} else {
		fmt.Println("logs:", logs)
	}
	f, err := newFleet(root, logs, rec)
	if err == nil {
		f.store.put(configKey, siteConfig(1, 0))
		if err = f.startAll(); err == nil {
			time.Sleep(time.Second)
			err = c.play(f, trouble)
		}
		f.stopAll()
	}
	if err != nil {
		rec.note("not run: %v", err)
	}
	count := rec.close()
	fmt.Printf("rules broken: %v, answers by status: %v\n", count, rec.answers)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if count[c.rule] > 0 {
		fmt.Printf("%s: %s\n", c.rule, rec.breaks[c.rule][0])
		return exitBroken
	}
	return exitHeld
}
