package soak

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestAddCrowdKeepsOtherEvents guards against crowds that change the other events of a seed.
func TestAddCrowdKeepsOtherEvents(t *testing.T) {
	before := []Event{{At: time.Second, Kind: DaemonStop}, {At: 9 * time.Second, Kind: ConfigChange}}
	crowds := 0
	for seed := range uint64(50) {
		after := addCrowd(slices.Clone(before), seed, 4, 30*time.Second)
		others := slices.DeleteFunc(slices.Clone(after), func(e Event) bool { return e.Kind == Crowd })
		if !reflect.DeepEqual(others, before) {
			t.Fatalf("seed %d: the other events became %v", seed, others)
		}
		crowds += len(after) - len(others)
	}
	if crowds == 0 {
		t.Fatal("no plan has a crowd")
	}
}

// TestIncompleteRequests guards against a crowd whose requests are complete, or invalid before
// their end, so that daemons would not have to hold them.
func TestIncompleteRequests(t *testing.T) {
	tests := map[string]struct {
		number   int
		wantBody int
	}{
		"by length":    {0, crowdBodyBytes - 1},
		"long chunks":  {2, crowdBodyBytes / longChunk * longChunk},
		"short chunks": {3, crowdBodyBytes},
		"half a head":  {4, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(incompleteRequest(test.number, "t"))))
			if test.wantBody < 0 {
				if !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("ReadRequest() error = %v, want io.ErrUnexpectedEOF", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(r.Body); !errors.Is(err, io.ErrUnexpectedEOF) || len(body) != test.wantBody {
				t.Fatalf("read %d bytes of the body, error %v, want %d and io.ErrUnexpectedEOF", len(body), err, test.wantBody)
			}
		})
	}
}
