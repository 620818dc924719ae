package config_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
)

func BenchmarkSelectServes(b *testing.B) {
	svc := mustParse(b, faultsDocument).Service()
	b.ReportAllocs()
	for b.Loop() {
		sel, _ := svc.Select("dispatch-3")
		for range 6 {
			svc.Serves(sel, "faults-3", "a")
		}
	}
}

func BenchmarkParse(b *testing.B) {
	data := []byte(faultsDocument)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := config.Parse("test.json", data); err != nil {
			b.Fatal(err)
		}
	}
}

func TestServesDoesNotAllocate(t *testing.T) {
	svc := mustParse(t, faultsDocument).Service()
	allocs := testing.AllocsPerRun(100, func() {
		sel, _ := svc.Select("dispatch-3")
		svc.Serves(sel, "faults-1", "a")
	})
	if allocs != 0 {
		t.Errorf("Select and Serves: got %v allocations, want 0", allocs)
	}
}

// TestSetMemory limits the memory use of a Set with 460 services.
func TestSetMemory(t *testing.T) {
	const services, maxHeapBytes = 460, 4 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	set := config.NewSet()
	for i := range services {
		set.Apply(mustParse(t, strings.ReplaceAll(faultsDocument, "faults", fmt.Sprintf("svc%03d", i))))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d documents of %d bytes: %d bytes", len(set.Documents()), len(faultsDocument), used)
	if used > maxHeapBytes {
		t.Errorf("set uses %d bytes, want at most %d", used, maxHeapBytes)
	}
}
