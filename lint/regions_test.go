package lint

import (
	"slices"
	"testing"
)

// TestUnknownRegions guards against a route whose region is misspelled.
func TestUnknownRegions(t *testing.T) {
	table := map[string]string{"a": "north", "b": "north", "c": "south"}
	if got := unknownRegions([]string{"south", "nord", "east", "north"}, table); !slices.Equal(got, []string{"nord", "east"}) {
		t.Errorf("got %v", got)
	}
}
