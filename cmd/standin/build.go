package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// errNoModule is returned when the working directory is outside any Go module.
var errNoModule = errors.New("not in the pomelodoor module; run from a clone or pass --daemon")

// buildDaemon returns the path of the daemon executable: prebuilt if it is set,
// otherwise a new build in dir.
func buildDaemon(ctx context.Context, prebuilt, dir string) (string, error) {
	if prebuilt != "" {
		return prebuilt, nil
	}
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "pomelodoor")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/pomelodoor")
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("build cmd/pomelodoor: %w", err)
	}
	return path, nil
}

// moduleRoot returns the directory that holds go.mod.
func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("find module root: %w", err)
	}
	file := strings.TrimSpace(string(out))
	if file == "" || file == os.DevNull {
		return "", errNoModule
	}
	return filepath.Dir(file), nil
}
