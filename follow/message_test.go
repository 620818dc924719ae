package follow_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

func TestCopyMessage(t *testing.T) {
	want := follow.Copy{
		Revision: 9, Age: 1500 * time.Millisecond, Certain: true, Grace: 2 * time.Second, Leaving: true, ReadStore: true,
		Items: []follow.Item{item("a", 3), {Key: "b/Ω", Value: []byte{0, 255}, Revision: 12}, deleted("c", 13)},
	}
	text, err := follow.EncodeCopy(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := follow.DecodeCopy(text)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestDecodeCopyRefuses(t *testing.T) {
	tests := map[string]string{
		"empty message":          "",
		"no JSON":                "<html>",
		"cut short":              `{"revision":9,"items":[{"key":"a"`,
		"no revision":            `{"items":[]}`,
		"a negative revision":    `{"revision":-1,"items":[]}`,
		"a negative age":         `{"revision":9,"ageMs":-1}`,
		"a negative grace":       `{"revision":9,"graceMs":-1}`,
		"a grace too long":       `{"revision":9,"graceMs":9223372036854775807}`,
		"an item without a key":  `{"revision":9,"items":[{"revision":3}]}`,
		"an item of no revision": `{"revision":9,"items":[{"key":"a"}]}`,
		"a value of wrong type":  `{"revision":9,"items":[{"key":"a","value":{},"revision":3}]}`,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := follow.DecodeCopy([]byte(text)); !errors.Is(err, follow.ErrCopy) {
				t.Fatalf("got error %v, want ErrCopy", err)
			}
		})
	}
}

func FuzzDecodeCopy(f *testing.F) {
	f.Add([]byte(`{"revision":9,"ageMs":5,"items":[{"key":"a","value":"YQ==","revision":3}]}`))
	f.Add([]byte(`{"revision":18446744073709551615,"ageMs":9223372036854775807,"graceMs":1,"items":[{"key":"a","revision":1,"deleted":true}]}`))
	f.Add([]byte(`{"revision":1e30}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := follow.DecodeCopy(text)
		if err != nil {
			return
		}
		if c.Revision == 0 || c.Age < 0 || c.Grace < 0 {
			t.Fatalf("got %+v", c)
		}
		copied := follow.New(follow.Config{})
		copied.SetReaders([]string{"r-1"}, false)
		listed(1, false, item("a", 1))(copied, at(0))
		copied.Polled(c, "r-1", at(10))
		copied.ApplyCopy(c, "r-1", at(10))
		if copied.Revision() < 1 {
			t.Fatalf("the revision went back to %d", copied.Revision())
		}
	})
}
