package main

import (
	"os"
	"strings"
)

// envPrefix begins the names of the variables that hold settings.
const envPrefix = "POMELODOOR_"

// unsetPlaceholders unsets the variables whose value is a placeholder of the deploy file. A
// platform that does not know a placeholder leaves it as it is, and the setting then has
// its default.
func unsetPlaceholders() {
	for _, entry := range os.Environ() {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, envPrefix) && isPlaceholder(value) {
			_ = os.Unsetenv(name)
		}
	}
}

func isPlaceholder(value string) bool {
	return strings.HasPrefix(value, "{{") && strings.HasSuffix(value, "}}")
}
