package config_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

func TestCompare(t *testing.T) {
	newStatus := func(confirm bool, texts ...string) config.Status {
		set := config.NewSet()
		if confirm {
			set.Confirm()
		}
		for _, text := range texts {
			set.Apply(mustParse(t, text))
		}
		return set.Status()
	}
	on, off := switches(7, `,"allow":["retry","eject"]`), switches(7, `,"allOff":true`)
	_, err := config.Parse("platform:switches", []byte(switches(8, `,"x":1`)))
	rejecting := config.NewSet()
	rejecting.Apply(mustParse(t, off))
	rejecting.Confirm()
	rejecting.Reject("switches", "platform:switches", err, time.Unix(1000, 0))

	tests := map[string]struct {
		statuses map[string]config.Status
		same     bool
		want     string
	}{
		"same documents, conflict on one": {
			map[string]config.Status{"a": newStatus(true, on, off), "b": newStatus(true, off)}, true,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"conflict: switches revision 7 was written twice, b8bf63ed2bac543d is in force, 98afca611394772f is not (1 instances: a)\n",
		},
		"one outdated": {
			map[string]config.Status{"a": newStatus(true, off), "b": newStatus(true, on), "c": newStatus(true, off)}, false,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"1 instances: switches revision 7 digest 98afca611394772f, on: retry eject, 1 documents, summary 7b06bda90cb57abb: b\n",
		},
		"one unconfirmed": {
			map[string]config.Status{"a": newStatus(false), "b": newStatus(true, off), "c": newStatus(true, off)}, false,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"1 instances: no switches, not confirmed, all actions off, 0 documents, summary 0000000000000000: a\n",
		},
		"additional service document": {
			map[string]config.Status{"a": newStatus(true, off), "b": newStatus(true, off, service(""))}, false,
			"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 2 documents, summary 3fc97f47a9c3b981\n" +
				"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6: a\n",
		},
		"rejected document": {
			map[string]config.Status{"a": rejecting.Status()}, true,
			"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"refused: switches: platform:switches:1: x: unknown field (1 instances: a)\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := config.Compare(tt.statuses)
			if c.Same() != tt.same || c.String() != tt.want {
				t.Errorf("got same %v and text\n%s", c.Same(), c)
			}
			data, err := json.Marshal(tt.statuses)
			if err != nil {
				t.Fatal(err)
			}
			var decoded map[string]config.Status
			if err := json.Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(config.Compare(decoded), c) {
				t.Errorf("after a JSON round trip: got %v, error %v", decoded, err)
			}
		})
	}
}
