package balance

import (
	"errors"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestParseLoad(t *testing.T) {
	tests := map[string]struct {
		text string
		want Load
		bad  bool
	}{
		"full": {text: "serving,3,1,12,1500,7,20", want: Load{
			State: Serving, InFlight: 3, Queued: 1, Slots: 12,
			ServiceTime: 1500 * time.Microsecond, FailPercent: 7, Age: 20 * time.Microsecond}},
		"zeros":              {text: "draining,0,0,0,0,0,0", want: Load{State: Draining}},
		"empty":              {bad: true},
		"unknown state":      {text: "fine,0,0,0,0,0,0", bad: true},
		"too few fields":     {text: "cold,0,0,0,0,0", bad: true},
		"too many fields":    {text: "cold,0,0,0,0,0,0,0", bad: true},
		"trailing comma":     {text: "cold,0,0,0,0,0,0,", bad: true},
		"sign":               {text: "cold,-1,0,0,0,0,0", bad: true},
		"space":              {text: "cold, 1,0,0,0,0,0", bad: true},
		"leading zero":       {text: "cold,01,0,0,0,0,0", bad: true},
		"number too large":   {text: "cold,1000000001,0,0,0,0,0", bad: true},
		"failures over 100%": {text: "cold,0,0,0,0,101,0", bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseLoad([]byte(test.text))
			if errors.Is(err, ErrLoad) != test.bad || got != test.want {
				t.Fatalf("ParseLoad = %+v, %v", got, err)
			}
		})
	}
}

func TestLoadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(-10, math.MaxInt)
		text := Load{
			State:    rapid.SampledFrom([]State{Serving, Cold, Draining, Down}).Draw(t, "state"),
			InFlight: number.Draw(t, "inFlight"), Queued: number.Draw(t, "queued"),
			Slots: number.Draw(t, "slots"), FailPercent: rapid.IntRange(0, 100).Draw(t, "fail"),
			ServiceTime: time.Duration(number.Draw(t, "service")), Age: time.Duration(number.Draw(t, "age")),
		}.Append(nil)
		load, err := ParseLoad(text)
		if err != nil || string(load.Append(nil)) != string(text) {
			t.Fatalf("ParseLoad(%q) = %+v, %v; Append does not return the same text", text, load, err)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add([]byte("serving,3,1,12,1500,7,20"))
	f.Add([]byte("cold,,0,0,0,0,0"))
	f.Fuzz(func(t *testing.T, b []byte) {
		load, err := ParseLoad(b)
		if err == nil && string(load.Append(nil)) != string(b) {
			t.Fatalf("ParseLoad(%q) = %+v; Append does not return the same text", b, load)
		}
	})
}
