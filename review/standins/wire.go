package main

import (
	_ "embed"
	"strings"
)

// The platform's names stand in a file of their own, as the project keeps them out of all
// Go code but its package platform, and a test of its looks for them.
//
//go:embed wire.txt
var wireText string

var wireNames = parseWire(wireText)

func parseWire(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) == 2 {
			names[fields[0]] = fields[1]
		}
	}
	return names
}

// wire returns the platform's name for a meaning.
func wire(meaning string) string {
	name, ok := wireNames[meaning]
	if !ok {
		panic("wire.txt has no " + meaning)
	}
	return name
}

var (
	attemptHeader    = wire("attemptHeader")
	deadlineHeader   = wire("deadlineHeader")
	sealHeader       = wire("sealHeader")
	expectHeader     = wire("expectHeader")
	loadHeader       = wire("loadHeader")
	notRunHeader     = wire("notRunHeader")
	callerHeader     = wire("callerHeader")
	instanceHeader   = wire("instanceHeader")
	listPath         = wire("listPath")
	watchPath        = wire("watchPath")
	waitParameter    = wire("waitParameter")
	moreField        = wire("moreField")
	asOfField        = wire("asOfField")
	configKey        = wire("configKey")
	routeTypeField   = wire("routeTypeField")
	targetField      = wire("targetField")
	attemptsField    = wire("attemptsField")
	healthPathField  = wire("healthPathField")
	connectionsField = wire("connectionsField")
	partsField       = wire("partsField")
	coldField        = wire("coldField")
	retryShareBound  = wire("retryShareBound")
	retryExtraBound  = wire("retryExtraBound")
	probesBound      = wire("probesBound")
)
