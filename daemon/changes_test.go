package daemon

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
)

func TestEncodeChanges(t *testing.T) {
	entries := func(n int, value func(int) []byte) (items []follow.Item) {
		for i := range n {
			items = append(items, follow.Item{Key: fmt.Sprintf("servers/%d", i), Value: value(i), Revision: uint64(i + 1)})
		}
		return items
	}
	text := func(i int) []byte {
		return fmt.Appendf(nil, `{"address":"10.0.0.%d:80","info":{"service":"faults"}}`, i)
	}
	noise := func(int) []byte {
		b := make([]byte, 200)
		_, _ = rand.Read(b)
		return b
	}
	tests := map[string]struct {
		items           []follow.Item
		zipped, tooLong bool
	}{
		"none":             {nil, false, false},
		"few":              {entries(3, text), false, false},
		"a list of 300":    {entries(300, text), true, false},
		"not compressible": {entries(300, noise), false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := encodeChanges(follow.Copy{Revision: 400, Items: test.items}, follow.Version{Revision: 7})
			if e.zipped != test.zipped || e.tooLong != test.tooLong || e.after.Revision != 7 || e.held.Revision != 400 {
				t.Fatalf("got zipped %t, tooLong %t, %d B", e.zipped, e.tooLong, len(e.body))
			}
			if test.tooLong {
				return
			}
			body := e.body
			if e.zipped {
				var err error
				if body, err = unzip(body, maxChangesBytes); err != nil {
					t.Fatal(err)
				}
			}
			c, err := follow.DecodeChanges([]byte(`{"revision":400}`), body)
			if err != nil || !reflect.DeepEqual(c.Items, test.items) {
				t.Fatalf("got %d items, %v", len(c.Items), err)
			}
		})
	}
}

func TestUnzipLimits(t *testing.T) {
	large := encodeChanges(follow.Copy{Revision: 1, Items: []follow.Item{{Key: "a", Value: bytes.Repeat([]byte("a"), 100_000), Revision: 1}}}, follow.Version{})
	if _, err := unzip(large.body, 1000); !errors.Is(err, exchange.ErrTooLong) {
		t.Fatalf("got error %v, want ErrTooLong", err)
	}
	if _, err := unzip([]byte("no gzip"), 1000); err == nil {
		t.Fatal("got no error for text that is not compressed")
	}
}
