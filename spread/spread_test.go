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

const settling = 45 * time.Second

func seeded(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 7)).IntN }

// disturb runs a fleet through lost, late and repeated messages, stale reads,
// partitions, pauses and replacements, and lets it settle.
func disturb(f *fleet, steps int) error {
	for range steps {
		if err := f.step(); err != nil {
			return err
		}
	}
	return f.settle(settling)
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

// faulted runs seeds until a checker reports the error that a fault must cause.
func faulted(t *testing.T, want error, run func(f *fleet) error) {
	t.Helper()
	for seed := range uint64(50) {
		if err := run(newFleet(4, seeded(seed))); errors.Is(err, want) {
			return
		}
	}
	t.Fatal("planted fault not caught in 50 seeds")
}

func TestCheckersCatchPlantedFaults(t *testing.T) {
	tests := map[string]struct {
		want  error
		fault func(s *State, m Message)
	}{
		"last message wins": {errWentDown, func(s *State, m Message) {
			for _, item := range m.Items {
				if e, ok := s.store.entries[item.Key]; ok {
					s.store.toggle(e)
					e.Version, e.hash = Version{}, 0
				}
			}
		}},
		"no comparison":   {errNotSame, func(s *State, _ Message) { s.compareAt = epoch.Add(time.Hour) }},
		"never confirmed": {errUnconfirmed, func(s *State, _ Message) { s.confirm.done, s.confirm.since = false, epoch.Add(time.Hour) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			faulted(t, test.want, func(f *fleet) error {
				f.tamper = test.fault
				return disturb(f, 200)
			})
		})
	}
}

// replaceAll replaces a fleet one by one while the platform gives an old
// version of the switches, and reports a daemon that trusts the old one.
func replaceAll(f *fleet, started func(*State)) error {
	f.publish("switches")
	f.platform.old["switches"] = f.platform.version
	f.publish("switches")
	off := f.platform.version
	if err := f.settle(settling); err != nil {
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
			if f.machines[i].Confirmed(f.now) && item.Version.Major < off {
				return fmt.Errorf("%w: machine %d at %d", errOldTrusted, i, item.Version.Major)
			}
		}
		if !f.machines[i].Confirmed(f.now) {
			return errUnconfirmed
		}
	}
	for i, m := range f.machines {
		if item, _ := m.Get("switches"); item.Version.Major != off {
			return fmt.Errorf("%w: machine %d at %d", errNotSame, i, item.Version.Major)
		}
	}
	return nil
}

// Hard case 5: a fresh daemon beside a stale platform hears from other daemons
// before it is confirmed, so switches stay off through a whole replacement.
func TestCase05FleetReplacedOneByOne(t *testing.T) {
	for seed := range uint64(10) {
		if err := replaceAll(newFleet(4, seeded(seed)), func(*State) {}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	faulted(t, errOldTrusted, func(f *fleet) error {
		return replaceAll(f, func(s *State) { s.confirm.done = true })
	})
}

// Hard case 4: a daemon that woke is not confirmed until it has compared anew.
func TestCase04WokenDaemonComparesFirst(t *testing.T) {
	f := newFleet(4, seeded(1))
	f.publish("switches")
	if err := f.settle(settling); err != nil {
		t.Fatal(err)
	}
	m := f.machines[3]
	late := m.message(f.now)
	late.From, late.Same = "1", &Same{Round: m.round}
	f.advance(40 * time.Second)
	f.do(3, m.Woke(f.now))
	m.Receive(late, f.now)
	late.From = "2"
	m.Receive(late, f.now)
	if m.Confirmed(f.now) {
		t.Fatal("confirmed by answers from before the pause")
	}
	if err := f.run(time.Second); err != nil || !m.Confirmed(f.now) {
		t.Fatalf("not confirmed a second after waking: %v", err)
	}
}

func TestConfirmedAlone(t *testing.T) {
	tests := map[string]struct {
		listed bool
		peers  int
		after  time.Duration
		want   bool
	}{
		"no platform, no peers":    {false, 0, time.Hour, false},
		"alone in the list":        {true, 0, 0, true},
		"peers not reached yet":    {true, 4, 19 * time.Second, false},
		"peers not reached at all": {true, 4, time.Hour, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, seeded(1))
			s := f.machines[0].State
			s.config.Peers = func() int { return test.peers }
			if test.listed {
				s.Instances(1, epoch)
			}
			if got := s.Confirmed(epoch.Add(test.after)); got != test.want {
				t.Errorf("confirmed %v, want %v", got, test.want)
			}
		})
	}
}

func TestRefusedItems(t *testing.T) {
	tests := map[string]struct {
		item Item
		want error
	}{
		"large body": {Item{Key: "a", Body: bytes.Repeat([]byte("x"), MaxBody+1)}, ErrBodyTooLarge},
		"no key":     {Item{}, ErrBadKey},
		"long key":   {Item{Key: string(bytes.Repeat([]byte("x"), MaxKey+1))}, ErrBadKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFleet(2, seeded(1)).machines[0].State
			if err := s.Put(test.item, epoch); !errors.Is(err, test.want) {
				t.Errorf("Put: %v", err)
			}
			actions := s.Receive(Message{From: "1", PlatformAgeMs: -1, Items: []Item{test.item}}, epoch)
			if len(actions) != 1 || actions[0].Kind != Refuse || s.Len() != 0 {
				t.Errorf("Receive: %v", actions)
			}
		})
	}
}

// A refused document travels too, and takes no good one out of place.
func TestRefusedDocumentIsKnownEverywhere(t *testing.T) {
	f := newFleet(4, seeded(1))
	f.publish("switches")
	if err := f.settle(settling); err != nil {
		t.Fatal(err)
	}
	f.publish("switches")
	f.platform.size = -1
	if err := f.run(settling); err != nil {
		t.Fatal(err)
	}
	for i, m := range f.machines {
		good, _ := m.Get("switches")
		refused, ok := m.Get(RefusedPrefix + "switches")
		if good.Version.Major != 1 || !ok || refused.Version.Major != 2 {
			t.Errorf("machine %d holds %v, refused %v", i, good.Version, refused.Version)
		}
	}
}

// A platform restored from a copy counts its versions from there. What is
// published after that is still read, and nothing of the copy is taken back.
func TestRestoredPlatformIsReadAgain(t *testing.T) {
	f := newFleet(4, seeded(1))
	for range 9 {
		f.publish("switches")
	}
	if err := f.settle(settling); err != nil {
		t.Fatal(err)
	}
	f.platform.version, f.platform.versions["switches"], f.platform.ahead = 3, 3, 0
	if err := f.run(settling); err != nil {
		t.Fatal(err)
	}
	f.platform.ahead = 10
	f.publish("switches")
	if err := f.run(settling); err != nil {
		t.Fatal(err)
	}
	if item, _ := f.machines[3].Get("switches"); item.Version.Major != 14 || item.Source != 4 {
		t.Errorf("held: %+v", item)
	}
}

// The switches are read before all other documents.
func TestFirstIsReadFirst(t *testing.T) {
	f := newFleet(2, seeded(1))
	s := f.machines[1].State
	s.config.First = DefaultFirst
	keys := []KeyVersion{{"a", 1}, {"b", 2}, {"switches", 3}, {"c", 4}}
	for _, action := range s.Index(4, keys, epoch) {
		if action.Kind == ReadPlatform && action.Read.Kind == ReadValue {
			if action.Read.Key != "switches" {
				t.Errorf("read %q first", action.Read.Key)
			}
			return
		}
	}
	t.Error("nothing read")
}

// Tombstones carry their age, so that all daemons forget them together.
func TestTombstonesAreForgottenEverywhere(t *testing.T) {
	f := newFleet(4, seeded(3))
	item := Item{Key: "instance/x", Version: Version{1, 3}, Tombstone: true}
	if err := f.machines[0].Put(item, f.now); err != nil {
		t.Fatal(err)
	}
	if err := f.settle(settling); err != nil || f.machines[3].Len() != 1 {
		t.Fatal("tombstone not spread", err)
	}
	f.start(3)
	f.now = f.now.Add(DefaultTombstoneLife - 2*time.Minute)
	if err := f.settle(settling); err != nil || f.machines[3].Len() != 1 {
		t.Fatal("tombstone not kept", err)
	}
	f.now = f.now.Add(time.Minute)
	if err := f.run(settling); err != nil {
		t.Fatal(err)
	}
	for i, m := range f.machines {
		if m.Len() != 0 {
			t.Errorf("machine %d still has it", i)
		}
	}
}
