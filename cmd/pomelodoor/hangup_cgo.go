//go:build cgo && unix

package main

/*
#include <signal.h>

// Runs before the Go runtime starts. By default the signal would end the process.
__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
