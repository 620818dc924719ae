package daemon

import (
	"strings"
	"testing"
)

// TestNamesOfUsersPlatform guards against a daemon that does not start because the users'
// platform names its service or zone by other rules than pomelodoor's.
func TestNamesOfUsersPlatform(t *testing.T) {
	tests := map[string]struct {
		name          string
		direct, valid bool
	}{
		"own name":              {name: "faults-1", valid: true},
		"own name in capitals":  {name: "Faults"},
		"theirs in capitals":    {name: "Kafi_81 C", direct: true, valid: true},
		"theirs of 100 letters": {name: strings.Repeat("z", 100), direct: true, valid: true},
		"theirs empty":          {direct: true},
		"theirs with line end":  {name: "a\r\nX-Other: 1", direct: true},
		"theirs too long":       {name: strings.Repeat("z", 257), direct: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{
				Instance: test.name, Service: test.name, AvailabilityZone: test.name, Region: test.name,
				Listen: "127.0.0.1:1", Peer: "127.0.0.1:2", Control: "127.0.0.1:3", Admin: "127.0.0.1:4", Upstream: "127.0.0.1:5",
				LogLevel: "info", LogFormat: "text", FleetSize: 10, MaxStopSeconds: 5,
			}
			s.Platform = []string{"127.0.0.1:6"}
			if test.direct {
				s.Platform, s.Store = nil, "127.0.0.1:6"
			}
			if err := s.Check(); (err == nil) != test.valid {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// TestMemorySetting guards against an account without room for a single body.
func TestMemorySetting(t *testing.T) {
	for memoryMB, valid := range map[float64]bool{0: true, 184: true, 128.5: true, 4: false, -1: false} {
		s := Settings{MemoryMB: memoryMB}
		if err := s.Check(); strings.Contains(err.Error(), "--memory-mb") == valid {
			t.Errorf("%g MB: got %v, want valid: %v", memoryMB, err, valid)
		}
	}
}
