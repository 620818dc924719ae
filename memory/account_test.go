package memory_test

import (
	"testing"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/memory"
)

const (
	kB = 1 << 10
	mB = 1 << 20
)

// TestAccountKeepsLimits guards against a sum above the limit, and against bytes that are
// never given back or given back twice.
func TestAccountKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 64).Draw(t, "limit") * mB
		account := memory.NewAccount(limit)
		sources := []memory.Source{memory.Callers, memory.Daemons, memory.Operators}
		kinds := []memory.Kind{memory.OpenConnections, memory.Requests, memory.Bodies, memory.Answers}
		var holds []*memory.Hold
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			n := rapid.Int64Range(0, 2*mB).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				holds = append(holds, account.Open(rapid.SampledFrom(sources).Draw(t, "source")))
			case 1:
				if len(holds) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").Release(kind, n)
				}
			case 2:
				if len(holds) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").ReleaseAll()
				}
			default:
				if len(holds) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").Reserve(kind, n)
				}
			}
			checkSums(t, account, holds, limit)
		}
		for _, h := range holds {
			h.ReleaseAll()
		}
		if used := account.Status().Used; used != 0 {
			t.Fatalf("%d bytes are in use after all were released, want 0", used)
		}
	})
}

func checkSums(t *rapid.T, account *memory.Account, holds []*memory.Hold, limit int64) {
	held := int64(0)
	for _, h := range holds {
		held += h.Bytes()
	}
	status := account.Status()
	if status.Used != held || status.Used > limit {
		t.Fatalf("%d bytes are in use, want %d as held, and at most %d", status.Used, held, limit)
	}
	for source, n := range status.BySource {
		if n < 0 || n > account.SourceLimit() {
			t.Fatalf("%s use %d bytes, want 0 to %d", source, n, account.SourceLimit())
		}
	}
}

// fill reserves bodies of 1 MiB until there is no room, and returns how many there are.
func fill(account *memory.Account, source memory.Source) int {
	for n := 0; ; n++ {
		if !account.Open(source).Reserve(memory.Bodies, mB) {
			return n
		}
	}
}

// TestAccountLeavesRoom guards against large bodies that take the room of small requests, and
// against callers that take the room of other daemons.
func TestAccountLeavesRoom(t *testing.T) {
	account := memory.NewAccount(memory.AccountBytes(184))
	if n := fill(account, memory.Callers); n < 46 {
		t.Errorf("a machine of 184 MB has room for %d bodies of 1 MiB from callers, want at least 46", n)
	}
	if account.Excess(memory.Callers) <= 0 {
		t.Error("there is no pressure on callers with as many large bodies as fit")
	}
	if n := account.Excess(memory.Daemons); n != 0 {
		t.Errorf("daemons must give up %d bytes that callers hold, want 0", n)
	}
	for i := range 100 {
		if !account.Open(memory.Callers).Reserve(memory.Bodies, 60*kB) {
			t.Fatalf("no room for small request %d of a caller", i)
		}
	}
	if n := fill(account, memory.Daemons); n < 4 {
		t.Errorf("room for %d large bodies from other daemons, want at least 4", n)
	}
}

// TestDefaultAccount guards against limits that follow from an unknown memory.
func TestDefaultAccount(t *testing.T) {
	if n := fill(memory.NewAccount(memory.AccountBytes(0)), memory.Callers); n < 300 {
		t.Errorf("room for %d bodies of 1 MiB where the memory is not known, want at least 300", n)
	}
	if n := memory.RuntimeBytes(0); n != 0 {
		t.Errorf("soft limit of %d bytes where the memory is not known, want none", n)
	}
}

// TestReleasedHoldReservesNothing guards against bytes that are never given back: a response to
// an attempt that is no longer needed may arrive after its request has ended.
func TestReleasedHoldReservesNothing(t *testing.T) {
	account := memory.NewAccount(mB)
	hold := account.Open(memory.Callers)
	hold.ReleaseAll()
	if hold.Reserve(memory.Answers, kB) {
		t.Error("a released hold has reserved bytes")
	}
	if used := account.Status().Used; used != 0 {
		t.Errorf("%d bytes are in use, want 0", used)
	}
}
