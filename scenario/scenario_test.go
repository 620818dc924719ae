package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// daemonPath is the path of the daemon executable built by buildAndRun.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the daemon once for all scripts and runs the tests. It skips
// the build if no script will run.
func buildAndRun(m *testing.M) int {
	for _, a := range os.Args {
		if a == "-test.short" || a == "-test.short=true" || strings.HasPrefix(a, "-test.list") {
			return m.Run()
		}
	}
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "pomelodoor")
	build := exec.Command("go", "build", "-o", daemonPath, "../cmd/pomelodoor")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build daemon:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			b, err := newTestbed()
			if err != nil {
				return err
			}
			env.Values[testbedKey{}] = b
			env.Defer(b.close)
			return nil
		},
		Cmds: commands,
	})
}

func TestScriptsEndWithExpectPromises(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal(scripts, err)
	}
	for _, script := range scripts {
		text, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}
		commands, _, _ := strings.Cut(string(text), "\n-- ")
		if !strings.HasSuffix(strings.TrimSpace(commands), "\nexpect promises") {
			t.Errorf("last command of %s is not expect promises", script)
		}
	}
}
