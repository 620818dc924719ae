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
	documents    = 461
	documentSize = 2000
	// envelope is what jsonrpc2, TCP and IP add to a message, in bytes.
	envelope = 110
	turn     = 10 * time.Millisecond
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

// large returns a fleet over 5 zones in 2 regions in which all hold the same
// documents, joined as membership says.
func large(n int) *fleet {
	f := newFleet(n, rand.New(rand.NewPCG(1, uint64(n))).IntN)
	f.readers = map[int]bool{}
	f.latency = func(from, to int) time.Duration {
		if regionOf(from) != regionOf(to) {
			return 40 * time.Millisecond
		}
		return 10 * time.Millisecond
	}
	f.platform.size = documentSize
	items := make([]Item, documents)
	for j := range items {
		key := "services/" + strconv.Itoa(j)
		f.publish(key)
		items[j] = Item{Key: key, Version: Version{Major: f.platform.version}, Body: make([]byte, documentSize)}
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
		if view.Reader(2) {
			f.readers[i] = true
		}
		for _, item := range items {
			m.store.put(item, epoch)
			m.reading.known[item.Key] = item.Version.Major
		}
		m.confirm.done, m.reading.listed = true, true
		m.reading.contact, m.reading.index.after = epoch, f.platform.version
	}
	return f
}

// traffic counts messages and bytes, apart for those that carry news.
type traffic struct {
	messages, bytes, newsMessages, newsBytes float64
}

func (c *traffic) count(l letter) {
	data, err := json.Marshal(l.message)
	if err != nil {
		panic(err)
	}
	m := l.message
	c.messages++
	c.bytes += float64(len(data) + envelope)
	if len(m.Offers)+len(m.Want)+len(m.Items) > 0 || m.Summary != nil && m.Summary.Level > 0 {
		c.newsMessages++
		c.newsBytes += float64(len(data) + envelope)
	}
}

// until runs the fleet until all that run hold one document at a version, and
// returns how long that took.
func (f *fleet) until(key string, version uint64) time.Duration {
	start := f.now
	for f.now.Sub(start) < time.Minute {
		f.turn(turn)
		held := true
		for _, m := range f.machines {
			item, _ := m.Get(key)
			held = held && (m.frozen || item.Version.Major >= version)
		}
		if held {
			break
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) runFor(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.turn(turn)
	}
}

// change publishes one document at a time and returns the longest spread.
func (f *fleet) change(times int) time.Duration {
	longest := time.Duration(0)
	for i := range times {
		key := "services/" + strconv.Itoa(i)
		f.publish(key)
		longest = max(longest, f.until(key, f.platform.version))
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
		f := large(n)
		f.runFor(20 * time.Second)
		var idle, news traffic
		f.posted = idle.count
		clear(f.reads)
		f.runFor(30 * time.Second)
		reads := 0
		for _, n := range f.reads {
			reads += n
		}
		f.posted = news.count
		longest := f.change(5)
		f.posted = nil
		for i, m := range f.machines {
			m.frozen = zoneOf(i) == 1
		}
		f.loss = 5
		lost := f.change(5)
		// A message costs its sender and its receiver.
		each := 2 / float64(n)
		perChange := news.newsBytes * each / 5
		fmt.Printf("| %d | %.1f | %.0f | %.1f | %.2f s | %.1f | %.0f | %.0f | %.2f s |\n", n,
			idle.messages*each/30, idle.bytes*each/30, float64(reads)/30, longest.Seconds(),
			news.newsMessages*each/5, perChange, perChange*4600/86400, lost.Seconds())
	}
}

func TestMeasureRegionsApart(t *testing.T) {
	if !*measure {
		t.Skip("needs -spread.measure")
	}
	fmt.Println("| machines | changes while apart | healed after | bytes per daemon to heal |")
	fmt.Println("|---|---|---|---|")
	for _, n := range sizes {
		f := large(n)
		for i, m := range f.machines {
			m.side = regionOf(i)
		}
		f.platform.cutSide = 1
		for range 154 {
			f.publish("services/" + strconv.Itoa(f.draw(documents)))
			for range 234 {
				f.turn(100 * time.Millisecond)
			}
		}
		for _, m := range f.machines {
			m.side = 0
		}
		var heal traffic
		f.posted = heal.count
		start := f.now
		for f.now.Sub(start) < time.Minute && !f.same() {
			f.turn(turn)
		}
		fmt.Printf("| %d | 154 | %.2f s | %.0f |\n", n, f.now.Sub(start).Seconds(), heal.newsBytes*2/float64(n))
	}
}

func (f *fleet) same() bool {
	for _, m := range f.machines {
		if m.Root() != f.machines[0].Root() {
			return false
		}
	}
	return true
}

// TestReadShare counts the platform's reads when a whole fleet starts or wakes
// at once.
func TestReadShare(t *testing.T) {
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
		"all start":           {0, func(f *fleet, i int) { start(f, i) }},
		"all start, cut off":  {0, func(f *fleet, i int) { start(f, i).side = i }},
		"all wake":            {time.Hour, func(f *fleet, i int) { f.do(i, f.machines[i].Woke(f.now)) }},
		"all wake, cut off":   {time.Hour, func(f *fleet, i int) { f.machines[i].side = i; f.do(i, f.machines[i].Woke(f.now)) }},
		"all cut off at once": {0, func(f *fleet, i int) { f.machines[i].side = i }},
		"platform comes back": {0, func(f *fleet, _ int) { f.platform.down = true }},
		"readers die at once": {0, func(f *fleet, i int) { f.machines[i].frozen = f.readers[i] }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := large(size)
			f.runFor(20 * time.Second)
			clear(f.reads)
			f.now = f.now.Add(test.pause)
			for j := range documents {
				f.publish("services/" + strconv.Itoa(j))
			}
			for i := range f.machines {
				test.disturb(f, i)
				f.machines[i].config.MaxFleet = size
			}
			for i := range 1800 {
				f.platform.down = f.platform.down && i < 600
				f.turn(50 * time.Millisecond)
			}
			most, total := 0, 0
			for _, n := range f.reads {
				most, total = max(most, n), total+n
			}
			old := 0
			for _, m := range f.machines {
				if item, _ := m.Get("services/0"); !m.frozen && item.Version.Major <= documents {
					old++
				}
			}
			t.Logf("%d daemons: at most %d reads a second, %d in all, %d without the first document", size, most, total, old)
			if old > 0 {
				t.Errorf("%d daemons hold an old version", old)
			}
			if most > DefaultReadShare {
				t.Errorf("%d reads in one second, share %d", most, DefaultReadShare)
			}
		})
	}
}

// BenchmarkHeap reports the bytes that one daemon's items take at the size
// planned: 461 documents and 2,800 records.
func BenchmarkHeap(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := full()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		runtime.KeepAlive(s)
	}
}

func full() *State {
	s := newFleet(2, rand.New(rand.NewPCG(1, 1)).IntN).machines[0].State
	for j := range documents {
		s.store.put(Item{Key: "services/" + strconv.Itoa(j), Body: make([]byte, documentSize)}, epoch)
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
	s := full()
	root := s.store.summary(1, 0, []byte{0})
	body := make([]byte, documentSize)
	tests := map[string]func(v Version) Message{
		"summary, same": func(Version) Message { return Message{Summary: root} },
		"offer, known":  func(Version) Message { return Message{Offers: []Offer{{Key: "services/1"}}} },
		"offer, new":    func(v Version) Message { return Message{Offers: []Offer{{Key: "services/2", Version: v}}} },
		"item, new":     func(v Version) Message { return Message{Items: []Item{{Key: "services/1", Version: v, Body: body}}} },
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
