package config_test

import (
	"fmt"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
)

// largeRoutes returns a routes document.
func largeRoutes(count int) []byte {
	var b strings.Builder
	b.WriteString(`{"kind":"routes","revision":1,"services":[{"service":"faults"}],"routes":[`)
	for i := range count {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r%d","host":"h.example","prefix":"/p%d/","idempotent":true,"rank":2,"timeoutMs":800,"targetMs":300,`+
			`"attempts":2,"parts":[{"service":"faults","weight":1}]}`, i, i)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// TestLargeRoutesAreCheapToParse guards against a document of thousands of routes that
// keeps a small machine from its requests for more than a second.
func TestLargeRoutesAreCheapToParse(t *testing.T) {
	const (
		routes           = 2000
		maxAllocsPerItem = 40
	)
	text := largeRoutes(routes)
	allocs := testing.AllocsPerRun(3, func() {
		if _, err := config.Parse("r.json", text); err != nil {
			t.Fatal(err)
		}
	})
	if perRoute := allocs / routes; perRoute > maxAllocsPerItem {
		t.Fatalf("got %.0f allocations for a route, want at most %d", perRoute, maxAllocsPerItem)
	}
}

// BenchmarkParseRoutes parses a document of nearly 1 MiB.
func BenchmarkParseRoutes(b *testing.B) {
	text := largeRoutes(5900)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Parse("r.json", text); err != nil {
			b.Fatal(err)
		}
	}
}
