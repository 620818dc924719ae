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

// errNoModule is returned outside the module, where nothing can be built.
var errNoModule = errors.New("not in the pomelodoor module; run it from a clone, or give --daemon")

// buildDaemon returns the path of the daemon's program. It builds it into dir
// unless a path was given.
func buildDaemon(ctx context.Context, given, dir string) (string, error) {
	if given != "" {
		return given, nil
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

// moduleRoot returns the directory of go.mod.
func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("find module: %w", err)
	}
	file := strings.TrimSpace(string(out))
	if file == "" || file == os.DevNull {
		return "", errNoModule
	}
	return filepath.Dir(file), nil
}
