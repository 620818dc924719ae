package main

import (
	"bytes"
	"fmt"
	"testing"

	"pomelodoor.example/pomelodoor/node"
)

func TestSummary(t *testing.T) {
	status := func(ready bool, revision uint64, ageMs int64, source string) node.Status {
		return node.Status{Ready: ready, Store: &node.StoreStatus{Revision: revision, AgeMs: ageMs, Source: source}}
	}
	many := map[string]node.Status{}
	for i := range 25 {
		many[fmt.Sprintf("n-%02d", i)] = status(false, 5, 10, "store")
	}
	tests := map[string]struct {
		statuses map[string]node.Status
		json     bool
		want     string
	}{
		"none":            {nil, false, "0 daemons, 0 ready\n"},
		"without a store": {map[string]node.Status{"a": {Ready: true}}, false, "1 daemons, 1 ready\n"},
		"outliers come first, the worst before the others": {
			map[string]node.Status{
				"a": status(true, 9, 20, "store"), "b": status(true, 8, 900, "10.0.0.1:80"),
				"c": status(true, 7, 12_000, "10.0.0.1:80"), "d": status(true, 7, 61_500, "store"), "e": status(false, 9, 10, "10.0.0.1:80"),
			}, false,
			"5 daemons, 4 ready\nstore: revision 9, 3 behind it, oldest copy 61500 ms, read by 2\n" +
				"e: not ready\nd: copy of the store is 1m1.5s old, revision 7, from store\nc: copy of the store is 12s old, revision 7, from 10.0.0.1:80\n",
		},
		"eras come before revisions": {
			map[string]node.Status{
				"a": {Ready: true, Store: &node.StoreStatus{Era: 2, Revision: 5, Source: "store"}}, "b": status(true, 9, 20, "store"),
			}, true,
			`{"daemons":2,"ready":2,"storeReaders":2,"era":2,"revision":5,"behind":1,"oldestAgeMs":20,"outliers":[],"moreOutliers":0}` + "\n",
		},
		"as JSON": {
			map[string]node.Status{"a": status(true, 9, 20, "store")}, true,
			`{"daemons":1,"ready":1,"storeReaders":1,"revision":9,"behind":0,"oldestAgeMs":20,"outliers":[],"moreOutliers":0}` + "\n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if err := writeSummary(&out, test.statuses, test.json); err != nil {
				t.Fatal(err)
			}
			if out.String() != test.want {
				t.Fatalf("got\n%s\nwant\n%s", out.String(), test.want)
			}
		})
	}
	if s := summarize(many); len(s.Outliers) != maxOutliers || s.MoreOutliers != 5 {
		t.Fatalf("got %d outliers and %d more", len(s.Outliers), s.MoreOutliers)
	}
}
