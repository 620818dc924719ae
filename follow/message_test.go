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
