package daemon

import (
	"slices"
	"testing"
)

func TestSeedReaders(t *testing.T) {
	seeds := []string{"10.0.0.1:3", "10.0.0.2:3", "10.0.0.3:3"}
	tests := map[string]struct {
		control     string
		seeds       []string
		incarnation uint64
		want        []string
		shared      bool
	}{
		"no seeds":         {"10.0.0.9:3", nil, 1, nil, false},
		"another daemon":   {"10.0.0.9:3", seeds, 3, []string{"10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2"}, false},
		"in another order": {"10.0.0.9:3", seeds, 4, []string{"10.0.0.2:2", "10.0.0.3:2", "10.0.0.1:2"}, false},
		"the first seed":   {"10.0.0.1:3", seeds, 3, nil, true},
		"the third seed":   {"10.0.0.3:3", seeds, 3, []string{"10.0.0.1:2", "10.0.0.2:2"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{Control: test.control, Peer: "10.0.0.9:2", Seeds: test.seeds}
			readers, shared := s.seedReaders(test.incarnation)
			if !slices.Equal(readers, test.want) || shared != test.shared {
				t.Fatalf("got %v, %t, want %v, %t", readers, shared, test.want, test.shared)
			}
		})
	}
}
