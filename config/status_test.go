package config_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/config"
)

func TestCompare(t *testing.T) {
	holder := func(confirm bool, texts ...string) config.Status {
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
	refusing := config.NewSet()
	refusing.Apply(mustParse(t, off))
	refusing.Confirm()
	refusing.Reject("switches", "platform:switches", err, time.Unix(1000, 0))

	tests := map[string]struct {
		statuses map[string]config.Status
		same     bool
		want     string
	}{
		"same, one saw the race": {
			map[string]config.Status{"a": holder(true, on, off), "b": holder(true, off)}, true,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"conflict: switches revision 7 was written twice, b8bf63ed2bac543d is in force, 98afca611394772f is not (1 instances: a)\n",
		},
		"one behind": {
			map[string]config.Status{"a": holder(true, off), "b": holder(true, on), "c": holder(true, off)}, false,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"1 instances: switches revision 7 digest 98afca611394772f, on: retry eject, 1 documents, summary 7b06bda90cb57abb: b\n",
		},
		"one fresh": {
			map[string]config.Status{"a": holder(false), "b": holder(true, off), "c": holder(true, off)}, false,
			"2 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"1 instances: no switches, not confirmed, all actions off, 0 documents, summary 0000000000000000: a\n",
		},
		"other service": {
			map[string]config.Status{"a": holder(true, off), "b": holder(true, off, service(""))}, false,
			"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 2 documents, summary 3fc97f47a9c3b981\n" +
				"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6: a\n",
		},
		"refused": {
			map[string]config.Status{"a": refusing.Status()}, true,
			"1 instances: switches revision 7 digest b8bf63ed2bac543d, all actions off, 1 documents, summary 7e19752ef169a4a6\n" +
				"refused: switches: platform:switches:1: x: unknown field (1 instances: a)\n",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := config.Compare(tt.statuses)
			if c.Same() != tt.same || c.String() != tt.want {
				t.Errorf("same %v\n%s", c.Same(), c)
			}
			data, err := json.Marshal(tt.statuses)
			if err != nil {
				t.Fatal(err)
			}
			var again map[string]config.Status
			if err := json.Unmarshal(data, &again); err != nil || !reflect.DeepEqual(config.Compare(again), c) {
				t.Errorf("after JSON %v, %v", again, err)
			}
		})
	}
}
