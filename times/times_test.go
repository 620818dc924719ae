package times_test

import (
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/times"
)

func TestEarlierAndLater(t *testing.T) {
	first := time.Unix(1_800_000_000, 0)
	second := first.Add(time.Nanosecond)
	tests := map[string][2]time.Time{
		"in order":     {first, second},
		"out of order": {second, first},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := times.Earlier(test[0], test[1]); got != first {
				t.Errorf("Earlier: got %s, want %s", got, first)
			}
			if got := times.Later(test[0], test[1]); got != second {
				t.Errorf("Later: got %s, want %s", got, second)
			}
		})
	}
}
