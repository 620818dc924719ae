// Command review-2 runs the scripts of the second independent review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(w *world, trouble bool) (int, error){
	"extra":  extraRefusal,
	"leave":  leaveAfterOutage,
	"poison": poisonedRestarts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(notRun)
	}()
	result, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = notRun
	}
	w.note("result %d", result)
	w.close()
	os.Exit(result)
}
