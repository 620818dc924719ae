package spread

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const convergeTime = 45 * time.Second

func seeded(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 7)).IntN }

// disturb runs a fleet with lost, late and duplicated messages, stale reads,
// partitions, pauses and replacements, and then verifies that it converges.
func disturb(f *fleet, steps int) error {
	for range steps {
		if err := f.step(); err != nil {
			return err
		}
	}
	return f.converge(convergeTime)
}

func TestFleetNeverGoesDownAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		f := newFleet(rapid.IntRange(2, 6).Draw(t, "size"), seeded(seed))
		if err := disturb(f, rapid.IntRange(1, 200).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// requireDetected fails the test unless, for one of 50 seeds, run returns the
// error that an injected fault must cause.
func requireDetected(t *testing.T, want error, run func(f *fleet) error) {
	t.Helper()
	for seed := range uint64(50) {
		if err := run(newFleet(4, seeded(seed))); errors.Is(err, want) {
			return
		}
	}
	t.Fatal("injected fault not detected in 50 seeds")
}

func TestCheckersDetectInjectedFaults(t *testing.T) {
	tests := map[string]struct {
		want  error
		fault func(s *State, m Message)
	}{
		"last message wins": {errRegressed, func(s *State, m Message) {
			for _, item := range m.Items {
				if e, ok := s.store.entries[item.Key]; ok {
					s.store.toggle(e)
					e.Version, e.hash = Version{}, 0
				}
			}
		}},
		"no comparison":   {errDiverged, func(s *State, _ Message) { s.compareAt = epoch.Add(time.Hour) }},
		"never confirmed": {errUnconfirmed, func(s *State, _ Message) { s.confirm.done, s.confirm.since = false, epoch.Add(time.Hour) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, test.want, func(f *fleet) error {
				f.injectFault = test.fault
				return disturb(f, 200)
			})
		})
	}
}

// replaceAll replaces the machines of a fleet one by one while the platform
// returns an old version of the switches. It returns an error if a machine is
// confirmed with the old version, or not confirmed at all.
func replaceAll(f *fleet, started func(*State)) error {
	f.publish("switches")
	f.platform.staleVersions["switches"] = f.platform.version
	f.publish("switches")
	newest := f.platform.version
	if err := f.converge(convergeTime); err != nil {
		return err
	}
	f.platform.stale = true
	for i := range f.machines {
		f.start(i)
		started(f.machines[i].State)
		for range 200 {
			if err := f.run(200 * time.Millisecond); err != nil {
				return err
			}
			item, _ := f.machines[i].Get("switches")
			if f.machines[i].Confirmed(f.now) && item.Version.Major < newest {
				return fmt.Errorf("%w: machine %d at version %d", errConfirmedStale, i, item.Version.Major)
			}
		}
		if !f.machines[i].Confirmed(f.now) {
			return errUnconfirmed
		}
	}
	for i, m := range f.machines {
		if item, _ := m.Get("switches"); item.Version.Major != newest {
			return fmt.Errorf("%w: machine %d at version %d", errDiverged, i, item.Version.Major)
		}
	}
	return nil
}

// Covers hard case 5: with a stale platform, a new daemon compares with other
// daemons before it is confirmed, so switches stay off while the whole fleet is
// replaced.
func TestCase05FleetReplacedOneByOne(t *testing.T) {
	for seed := range uint64(10) {
		if err := replaceAll(newFleet(4, seeded(seed)), func(*State) {}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	requireDetected(t, errConfirmedStale, func(f *fleet) error {
		return replaceAll(f, func(s *State) { s.confirm.done = true })
	})
}

// Covers hard case 4: a daemon that resumed after a pause is not confirmed until
// it has compared again; answers from before the pause do not count.
func TestCase04ResumedDaemonComparesFirst(t *testing.T) {
	f := newFleet(4, seeded(1))
	f.publish("switches")
	if err := f.converge(convergeTime); err != nil {
		t.Fatal(err)
	}
	m := f.machines[3]
	late := m.message(f.now)
	late.From, late.RootMatch = "1", &RootMatch{Round: m.round}
	f.advance(40 * time.Second)
	f.do(3, m.Resumed(f.now))
	m.Receive(late, f.now)
	late.From = "2"
	m.Receive(late, f.now)
	if m.Confirmed(f.now) {
		t.Fatal("confirmed by answers to comparisons from before the pause")
	}
	if err := f.run(time.Second); err != nil || !m.Confirmed(f.now) {
		t.Fatalf("not confirmed one second after resuming: %v", err)
	}
}

func TestConfirmedWithoutAnswers(t *testing.T) {
	tests := map[string]struct {
		listed bool
		peers  int
		after  time.Duration
		want   bool
	}{
		"no platform, no peers":     {false, 0, time.Hour, false},
		"listed, no peers":          {true, 0, 0, true},
		"peers, within ConfirmWait": {true, 4, 19 * time.Second, false},
		"peers, after ConfirmWait":  {true, 4, time.Hour, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, seeded(1))
			s := f.machines[0].State
			s.config.Peers = func() int { return test.peers }
			if test.listed {
				s.InstancesRead(1, epoch)
			}
			if got := s.Confirmed(epoch.Add(test.after)); got != test.want {
				t.Errorf("got confirmed %v, want %v", got, test.want)
			}
		})
	}
}

func TestRefusedItems(t *testing.T) {
	tests := map[string]struct {
		item Item
		want error
	}{
		"large body": {Item{Key: "a", Body: bytes.Repeat([]byte("x"), MaxBodyBytes+1)}, ErrBodyTooLarge},
		"no key":     {Item{}, ErrBadKey},
		"long key":   {Item{Key: string(bytes.Repeat([]byte("x"), MaxKeyBytes+1))}, ErrBadKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFleet(2, seeded(1)).machines[0].State
			if err := s.Put(test.item, epoch); !errors.Is(err, test.want) {
				t.Errorf("Put: unexpected error %v", err)
			}
			actions := s.Receive(Message{From: "1", PlatformAgeMs: -1, Items: []Item{test.item}}, epoch)
			if len(actions) != 1 || actions[0].Kind != Refuse || s.Len() != 0 {
				t.Errorf("Receive: got actions %v, want one Refuse and no item stored", actions)
			}
		})
	}
}

// A refused document is distributed as well and does not replace a valid one.
func TestRefusedDocumentReachesAllDaemons(t *testing.T) {
	f := newFleet(4, seeded(1))
	f.publish("switches")
	if err := f.converge(convergeTime); err != nil {
		t.Fatal(err)
	}
	f.publish("switches")
	f.platform.documentSize = -1
	if err := f.run(convergeTime); err != nil {
		t.Fatal(err)
	}
	for i, m := range f.machines {
		good, _ := m.Get("switches")
		refused, ok := m.Get(RefusedPrefix + "switches")
		if good.Version.Major != 1 || !ok || refused.Version.Major != 2 {
			t.Errorf("machine %d: got version %v, refused %v; want 1 and 2", i, good.Version, refused.Version)
		}
	}
}

// A platform restored from a copy continues with the copy's version numbers.
// Documents published later are still read, and the copy's older documents do
// not replace newer ones.
func TestRestoredPlatformIsReadAgain(t *testing.T) {
	f := newFleet(4, seeded(1))
	for range 9 {
		f.publish("switches")
	}
	if err := f.converge(convergeTime); err != nil {
		t.Fatal(err)
	}
	f.platform.version, f.platform.versions["switches"], f.platform.revisionOffset = 3, 3, 0
	if err := f.run(convergeTime); err != nil {
		t.Fatal(err)
	}
	f.platform.revisionOffset = 10
	f.publish("switches")
	if err := f.run(convergeTime); err != nil {
		t.Fatal(err)
	}
	if item, _ := f.machines[3].Get("switches"); item.Version.Major != 14 || item.Source != 4 {
		t.Errorf("got item %+v, want revision 14 from source version 4", item)
	}
}

// The switches document is read before all others.
func TestPriorityKeyIsReadFirst(t *testing.T) {
	f := newFleet(2, seeded(1))
	s := f.machines[1].State
	s.config.PriorityKey = DefaultPriorityKey
	keys := []KeyVersion{{"a", 1}, {"b", 2}, {"switches", 3}, {"c", 4}}
	for _, action := range s.IndexRead(4, keys, epoch) {
		if action.Kind == ReadPlatform && action.Read.Kind == ReadValue {
			if action.Read.Key != "switches" {
				t.Errorf("got %q read first, want switches", action.Read.Key)
			}
			return
		}
	}
	t.Error("no value was read")
}

// Tombstones carry their age, so that all daemons remove them at the same time.
func TestTombstonesExpireOnAllDaemons(t *testing.T) {
	f := newFleet(4, seeded(3))
	item := Item{Key: "instance/x", Version: Version{1, 3}, Tombstone: true}
	if err := f.machines[0].Put(item, f.now); err != nil {
		t.Fatal(err)
	}
	if err := f.converge(convergeTime); err != nil || f.machines[3].Len() != 1 {
		t.Fatal("tombstone not distributed to all machines", err)
	}
	f.start(3)
	f.now = f.now.Add(DefaultTombstoneTTL - 2*time.Minute)
	if err := f.converge(convergeTime); err != nil || f.machines[3].Len() != 1 {
		t.Fatal("tombstone not kept until its TTL", err)
	}
	f.now = f.now.Add(time.Minute)
	if err := f.run(convergeTime); err != nil {
		t.Fatal(err)
	}
	for i, m := range f.machines {
		if m.Len() != 0 {
			t.Errorf("machine %d still holds the tombstone", i)
		}
	}
}
