package daemon

import (
	"errors"
	"testing"
	"time"
)

func TestParsePoll(t *testing.T) {
	tests := map[string]struct {
		text      string
		wait, age time.Duration
		bad       bool
	}{
		"both":      {text: formatPoll(1500*time.Millisecond, 20*time.Millisecond), wait: 1500 * time.Millisecond, age: 20 * time.Millisecond},
		"too long":  {text: "18446744073709551 5", wait: maxPollWait, age: 5 * time.Millisecond},
		"too large": {text: "1e30 5", bad: true},
		"negative":  {text: "-1 5", bad: true},
		"one only":  {text: "5", bad: true},
		"empty":     {bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			wait, age, err := parsePoll(test.text)
			if errors.Is(err, errPollHeader) != test.bad || !test.bad && (wait != test.wait || age != test.age) {
				t.Fatalf("got %s, %s, %v", wait, age, err)
			}
		})
	}
}
