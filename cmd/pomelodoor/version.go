package main

import (
	"fmt"
	"io"
	"runtime"
)

// version is incremented with each release.
const version = "0.1.0"

type versionCommand struct{}

func (*versionCommand) run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "pomelodoor %s (%s %s/%s)\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
