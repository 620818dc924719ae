package daemon

import "testing"

// TestRegionOfZone guards against daemons that see the region of a zone differently, and against
// a zone whose region is guessed.
func TestRegionOfZone(t *testing.T) {
	tests := map[string]struct {
		store, zones string
		valid        bool
		own, other   string
	}{
		"no table":          {"127.0.0.1:6", "", true, "north", ""},
		"table":             {"127.0.0.1:6", `{"a":"east","b":"south"}`, true, "east", "south"},
		"own zone missing":  {"127.0.0.1:6", `{"b":"south"}`, true, "north", "south"},
		"not an object":     {"127.0.0.1:6", `"a"`, false, "", ""},
		"without the store": {"", `{"a":"east"}`, false, "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{
				Instance: "i", Service: "s", AvailabilityZone: "a", Region: "north", Zones: test.zones, Store: test.store,
				Listen: "127.0.0.1:1", Peer: "127.0.0.1:2", Control: "127.0.0.1:3", Admin: "127.0.0.1:4", Upstream: "127.0.0.1:5",
				LogLevel: "info", LogFormat: "text", FleetSize: 10, MaxStopSeconds: 5,
			}
			if test.store == "" {
				s.Platform = []string{"127.0.0.1:6"}
			}
			if err := s.Check(); (err == nil) != test.valid {
				t.Fatalf("got %v", err)
			}
			if own, other := s.regionOf("a"), s.regionOf("b"); test.valid && (own != test.own || other != test.other) {
				t.Errorf("got regions %q and %q", own, other)
			}
		})
	}
}
