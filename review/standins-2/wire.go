package main

import (
	_ "embed"
	"strings"
)

// The platform's names stand in a file of their own: the project keeps them out of all Go files
// but those of its package platform.
//
//go:embed wire.txt
var wireText string

var wireNames = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		if meaning, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok && meaning != "#" {
			names[meaning] = name
		}
	}
	return names
}()

// wire returns the platform's name for a meaning.
func wire(meaning string) string {
	name, ok := wireNames[meaning]
	if !ok {
		panic("wire.txt has no " + meaning)
	}
	return name
}

// header returns a header line with the platform's name for a meaning.
func header(meaning, value string) string { return wire(meaning) + ": " + value + "\r\n" }
