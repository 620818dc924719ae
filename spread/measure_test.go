package spread

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/membership"
)

var (
	measure = flag.Bool("spread.measure", false, "print the tables of docs/design/spread.md")
	sizes   = []int{4, 16, 64, 256, 1024, 2800}
)

const (
	documentCount = 461
	documentBytes = 2000
	// envelopeBytes is what jsonrpc2, TCP and IP add to a message.
	envelopeBytes = 110
	tickInterval  = 10 * time.Millisecond
)

func zoneOf(i int) int { return i % 5 }

func regionOf(i int) int { return zoneOf(i) / 3 }

func record(i int) membership.Record {
	address := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
	return membership.Record{Incarnation: uint64(i + 1), State: membership.Live, Instance: membership.Instance{
		ID: strconv.Itoa(i), Service: fmt.Sprintf("service-%03d", i%460),
		AvailabilityZone: strconv.Itoa(zoneOf(i)), Region: strconv.Itoa(regionOf(i)),
		Listen: address, Peer: address, Control: address,
	}}
}

// largeFleet returns a fleet in 5 zones of 2 regions in which all machines hold
// the same documents. Neighbours and readers are those chosen by package
// membership.
func largeFleet(n int) *fleet {
	f := newFleet(n, rand.New(rand.NewPCG(1, uint64(n))).IntN)
	f.readers = map[int]bool{}
	f.latency = func(from, to int) time.Duration {
		if regionOf(from) != regionOf(to) {
			return 40 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	f.platform.documentSize = documentBytes
	items := make([]Item, documentCount)
	for j := range items {
		key := "services/" + strconv.Itoa(j)
		f.publish(key)
		items[j] = Item{Key: key, Version: Version{Major: f.platform.version}, Body: make([]byte, documentBytes)}
	}
	for i, m := range f.machines {
		view := membership.New(membership.Config{Self: record(i).Instance, Incarnation: uint64(i + 1)})
		for j := range n {
			view.Merge(record(j), epoch)
		}
		f.links[i] = nil
		for _, neighbour := range view.Neighbours() {
			f.links[i] = append(f.links[i], neighbour.ID)
		}
		if view.IsReader(2) {
			f.readers[i] = true
		}
		for _, item := range items {
			m.store.put(item, epoch)
			m.reading.readVersions[item.Key] = item.Version.Major
		}
		m.confirm.done, m.reading.listRead = true, true
		m.reading.lastAnswer, m.reading.index.after = epoch, f.platform.version
	}
	return f
}

// traffic counts messages and bytes, in total and of those that transfer
// changes.
type traffic struct {
	messages, bytes, changeMessages, changeBytes float64
}

func (c *traffic) count(d delivery) {
	data, err := json.Marshal(d.message)
	if err != nil {
		panic(err)
	}
	m := d.message
	c.messages++
	c.bytes += float64(len(data) + envelopeBytes)
	if len(m.Offers)+len(m.Want)+len(m.Items) > 0 || m.Summary != nil && m.Summary.Level > 0 {
		c.changeMessages++
		c.changeBytes += float64(len(data) + envelopeBytes)
	}
}

// runUntilHeld runs the fleet until all running machines hold a document at a
// version or newer, for at most a minute, and returns the time that it took.
func (f *fleet) runUntilHeld(key string, version uint64) time.Duration {
	start := f.now
	for f.now.Sub(start) < time.Minute {
		f.advanceAndDeliver(tickInterval)
		held := true
		for _, m := range f.machines {
			item, _ := m.Get(key)
			held = held && (m.paused || item.Version.Major >= version)
		}
		if held {
			break
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) runFor(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advanceAndDeliver(tickInterval)
	}
}

// publishChanges publishes changes of documents one by one and returns the
// longest time until one was held everywhere.
func (f *fleet) publishChanges(times int) time.Duration {
	longest := time.Duration(0)
	for i := range times {
		key := "services/" + strconv.Itoa(i)
		f.publish(key)
		longest = max(longest, f.runUntilHeld(key, f.platform.version))
		f.runFor(5 * time.Second)
	}
	return longest
}

func TestMeasureChange(t *testing.T) {
	if !*measure {
		t.Skip("needs -spread.measure")
	}
	fmt.Println("| machines | idle messages/s | idle B/s | platform reads/s | change: slowest of 5 | messages | bytes | B/s at 4,600 a day | zone and 5 in 100 messages lost: slowest of 5 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, n := range sizes {
		f := largeFleet(n)
		f.runFor(20 * time.Second)
		var idle, changes traffic
		f.onSend = idle.count
		clear(f.reads)
		f.runFor(30 * time.Second)
		reads := 0
		for _, n := range f.reads {
			reads += n
		}
		f.onSend = changes.count
		longest := f.publishChanges(5)
		f.onSend = nil
		for i, m := range f.machines {
			m.paused = zoneOf(i) == 1
		}
		f.lossPercent = 5
		longestWithLoss := f.publishChanges(5)
		// A message counts for its sender and its receiver.
		each := 2 / float64(n)
		perChange := changes.changeBytes * each / 5
		fmt.Printf("| %d | %.1f | %.0f | %.1f | %.2f s | %.1f | %.0f | %.0f | %.2f s |\n", n,
			idle.messages*each/30, idle.bytes*each/30, float64(reads)/30, longest.Seconds(),
			changes.changeMessages*each/5, perChange, perChange*4600/86400, longestWithLoss.Seconds())
	}
}

func TestMeasureRegionPartition(t *testing.T) {
	if !*measure {
		t.Skip("needs -spread.measure")
	}
	fmt.Println("| machines | changes while apart | healed after | bytes per daemon to heal |")
	fmt.Println("|---|---|---|---|")
	for _, n := range sizes {
		f := largeFleet(n)
		for i, m := range f.machines {
			m.partition = regionOf(i)
		}
		f.platform.isolatedPartition = 1
		for range 154 {
			f.publish("services/" + strconv.Itoa(f.draw(documentCount)))
			for range 234 {
				f.advanceAndDeliver(100 * time.Millisecond)
			}
		}
		for _, m := range f.machines {
			m.partition = 0
		}
		var heal traffic
		f.onSend = heal.count
		start := f.now
		for f.now.Sub(start) < time.Minute && !f.sameRoots() {
			f.advanceAndDeliver(tickInterval)
		}
		fmt.Printf("| %d | 154 | %.2f s | %.0f |\n", n, f.now.Sub(start).Seconds(), heal.changeBytes*2/float64(n))
	}
}

func (f *fleet) sameRoots() bool {
	for _, m := range f.machines {
		if m.Root() != f.machines[0].Root() {
			return false
		}
	}
	return true
}

// TestReadRate checks that the fleet's platform reads stay within
// DefaultReadsPerSecond when a whole fleet starts or resumes at once.
func TestReadRate(t *testing.T) {
	size := 120
	if *measure {
		size = 2800
	}
	start := func(f *fleet, i int) *machine {
		f.start(i)
		f.machines[i].listed = false
		return f.machines[i]
	}
	tests := map[string]struct {
		pause   time.Duration
		disturb func(f *fleet, i int)
	}{
		"all start":                {0, func(f *fleet, i int) { start(f, i) }},
		"all start, isolated":      {0, func(f *fleet, i int) { start(f, i).partition = i }},
		"all resume":               {time.Hour, func(f *fleet, i int) { f.do(i, f.machines[i].Resumed(f.now)) }},
		"all resume, isolated":     {time.Hour, func(f *fleet, i int) { f.machines[i].partition = i; f.do(i, f.machines[i].Resumed(f.now)) }},
		"all isolated at once":     {0, func(f *fleet, i int) { f.machines[i].partition = i }},
		"platform recovers":        {0, func(f *fleet, _ int) { f.platform.down = true }},
		"all readers fail at once": {0, func(f *fleet, i int) { f.machines[i].paused = f.readers[i] }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := largeFleet(size)
			f.runFor(20 * time.Second)
			clear(f.reads)
			f.now = f.now.Add(test.pause)
			for j := range documentCount {
				f.publish("services/" + strconv.Itoa(j))
			}
			for i := range f.machines {
				test.disturb(f, i)
				f.machines[i].config.MaxFleet = size
			}
			for i := range 1800 {
				f.platform.down = f.platform.down && i < 600
				f.advanceAndDeliver(50 * time.Millisecond)
			}
			maxReads, total := 0, 0
			for _, n := range f.reads {
				maxReads, total = max(maxReads, n), total+n
			}
			outdated := 0
			for _, m := range f.machines {
				if item, _ := m.Get("services/0"); !m.paused && item.Version.Major <= documentCount {
					outdated++
				}
			}
			t.Logf("%d machines: at most %d reads in a second, %d in total, %d machines with an old version of the priority key", size, maxReads, total, outdated)
			if outdated > 0 {
				t.Errorf("%d machines hold an old version of the priority key, want 0", outdated)
			}
			if maxReads > DefaultReadsPerSecond {
				t.Errorf("got %d reads in one second, want at most %d", maxReads, DefaultReadsPerSecond)
			}
		})
	}
}

// BenchmarkHeap reports the heap size of one daemon's items at the planned size:
// 461 documents and 2,800 records.
func BenchmarkHeap(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := newFullState()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		runtime.KeepAlive(s)
	}
}

func newFullState() *State {
	s := newFleet(2, rand.New(rand.NewPCG(1, 1)).IntN).machines[0].State
	for j := range documentCount {
		s.store.put(Item{Key: "services/" + strconv.Itoa(j), Body: make([]byte, documentBytes)}, epoch)
	}
	for i := range 2800 {
		body, err := json.Marshal(record(i))
		if err != nil {
			panic(err)
		}
		s.store.put(Item{Key: "instance/" + strconv.Itoa(i), Body: body}, epoch)
	}
	return s
}

func BenchmarkReceive(b *testing.B) {
	s := newFullState()
	root := s.store.summary(1, 0, []byte{0})
	body := make([]byte, documentBytes)
	tests := map[string]func(v Version) Message{
		"summary, equal": func(Version) Message { return Message{Summary: root} },
		"offer, known":   func(Version) Message { return Message{Offers: []Offer{{Key: "services/1"}}} },
		"offer, new":     func(v Version) Message { return Message{Offers: []Offer{{Key: "services/2", Version: v}}} },
		"item, new":      func(v Version) Message { return Message{Items: []Item{{Key: "services/1", Version: v, Body: body}}} },
	}
	for name, message := range tests {
		b.Run(name, func(b *testing.B) {
			now := epoch
			for b.Loop() {
				now = now.Add(2 * time.Second)
				m := message(Version{Major: uint64(now.Unix())})
				m.From = "1"
				s.Receive(m, now)
				s.Tick(now)
			}
		})
	}
}
