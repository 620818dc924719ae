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
		Era: 4, Revision: 9, Age: 1500 * time.Millisecond, Certain: true,
		Items: []follow.Item{item("a", 3), {Key: "b/Ω", Value: []byte{0, 255}, Revision: 12}},
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

func TestChangesMessage(t *testing.T) {
	want := follow.Copy{
		Era: 4, Revision: 9, Age: 1500 * time.Millisecond, Grace: 2 * time.Second, Leaving: true, ReadStore: true,
		Items: []follow.Item{item("a", 3), {Key: "b/Ω", Value: []byte{0, 255}, Revision: 12}, deleted("c", 13)},
	}
	state, errState := follow.EncodeState(want)
	changes, errChanges := follow.EncodeChanges(want.Items)
	if err := errors.Join(errState, errChanges); err != nil {
		t.Fatal(err)
	}
	got, err := follow.DecodeChanges(state, changes)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v, want %+v", got, err, want)
	}
}

func TestDecodeChangesRefuses(t *testing.T) {
	const state = `{"revision":9,"ageMs":5}`
	tests := map[string]struct{ state, changes string }{
		"no state":               {"", "[]"},
		"no changes":             {state, ""},
		"a whole copy":           {state, `{"revision":9,"items":[]}`},
		"changes cut short":      {state, `[{"key":"a"`},
		"no revision":            {`{"ageMs":5}`, "[]"},
		"a negative age":         {`{"revision":9,"ageMs":-1}`, "[]"},
		"a negative grace":       {`{"revision":9,"graceMs":-1}`, "[]"},
		"a grace too long":       {`{"revision":9,"graceMs":9223372036854775807}`, "[]"},
		"an item without a key":  {state, `[{"revision":3}]`},
		"an item of no revision": {state, `[{"key":"a"}]`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := follow.DecodeChanges([]byte(test.state), []byte(test.changes)); !errors.Is(err, follow.ErrCopy) {
				t.Fatalf("got error %v, want ErrCopy", err)
			}
		})
	}
}

func FuzzDecodeChanges(f *testing.F) {
	f.Add([]byte(`{"revision":9,"ageMs":5}`), []byte(`[{"key":"a","text":"x","revision":3},{"key":"b","revision":4,"deleted":true}]`))
	f.Add([]byte(`{"revision":18446744073709551615,"ageMs":9223372036854775807}`), []byte(`[{"key":"a","value":"YQ==","revision":1e30}]`))
	f.Fuzz(func(t *testing.T, state, changes []byte) {
		c, err := follow.DecodeChanges(state, changes)
		if err != nil {
			return
		}
		copied := follow.New(follow.Config{})
		copied.SetReaders([]string{"r-1"}, false)
		listed(1, false, item("a", 1))(copied, at(0))
		copied.Polled(c, "r-1", at(10))
		if copied.Revision() < 1 || c.Age < 0 || c.Grace < 0 {
			t.Fatalf("got %+v, revision %d", c, copied.Revision())
		}
	})
}

func FuzzDecodeCopy(f *testing.F) {
	f.Add([]byte(`{"revision":9,"ageMs":5,"items":[{"key":"a","value":"YQ==","revision":3}]}`))
	f.Add([]byte(`{"revision":1e30}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := follow.DecodeCopy(text)
		if err != nil {
			return
		}
		copied := follow.New(follow.Config{})
		listed(1, false, item("a", 1))(copied, at(0))
		copied.ApplyCopy(c, "r-1", at(10))
		if copied.Revision() < 1 || c.Age < 0 {
			t.Fatalf("got %+v, revision %d", c, copied.Revision())
		}
	})
}
