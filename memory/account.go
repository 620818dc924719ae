package memory

import "sync"

// Source is whom memory is held for.
type Source string

// The sources.
const (
	Callers   Source = "callers"
	Daemons   Source = "daemons"
	Operators Source = "operators"
)

// Kind is what memory is held for.
type Kind string

// The kinds.
const (
	// OpenConnections is for the buffers of connections.
	OpenConnections Kind = "connections"
	// Requests is for what a request needs besides its bodies: a connection on which it is
	// sent on, and copies of its head.
	Requests Kind = "requests"
	Bodies   Kind = "bodies"
	Answers  Kind = "answers"
	// Messages is for control messages that have arrived in part.
	Messages Kind = "messages"
)

const (
	// accountPercent is the part of the host's memory that is for the account, and
	// runtimePercent the part up to which the garbage collector lets the heap grow. Between
	// them is room for the daemon's own data and for garbage; above the second, for the
	// program itself and for the kernel's socket buffers.
	accountPercent = 40
	runtimePercent = 75
	// defaultAccountBytes applies where the host's memory is not known. It holds 350
	// bodies of the longest buffered length from callers.
	defaultAccountBytes = 512 << 20
	bytesPerMB          = 1 << 20

	// sourcePercent is the part of the account that one source can use, so that callers
	// cannot displace other daemons.
	sourcePercent = 75
	// largePercent is the part of that for requests that hold more than SmallBytes, so that
	// small ones are served while large ones are refused.
	largePercent = 88
	// pressurePercent is the part from which on stalled requests are ended.
	pressurePercent = 70
)

// SmallBytes is the most that a small request holds, beside what every request needs.
const SmallBytes = 64 << 10

// AccountBytes returns the size of the account for a host with so much memory in MB; 0
// means that it is not known.
func AccountBytes(memoryMB float64) int64 {
	if memoryMB == 0 {
		return defaultAccountBytes
	}
	return int64(memoryMB*bytesPerMB) * accountPercent / 100
}

// RuntimeBytes returns the soft limit for the memory of the Go runtime; 0 means none.
func RuntimeBytes(memoryMB float64) int64 {
	return int64(memoryMB*bytesPerMB) * runtimePercent / 100
}

// Account counts the bytes held for all sources. It is safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	peak     int64
	bySource map[Source]int64
	byKind   map[Kind]int64
	refused  map[Kind]int64
}

// NewAccount returns an account of so many bytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, bySource: map[Source]int64{}, byKind: map[Kind]int64{}, refused: map[Kind]int64{}}
}

// Limit returns the size of the account.
func (a *Account) Limit() int64 { return a.limit }

// SourceLimit returns the most that one source can use.
func (a *Account) SourceLimit() int64 { return a.limit * sourcePercent / 100 }

// Open returns an empty hold for a source.
func (a *Account) Open(source Source) *Hold {
	return &Hold{account: a, source: source}
}

// Excess returns how many bytes a source must give up so that there is room again; 0 without
// pressure.
func (a *Account) Excess(source Source) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	bySource := a.bySource[source] - a.SourceLimit()*pressurePercent/100
	overall := a.used - a.limit*pressurePercent/100
	return max(bySource, min(overall, a.bySource[source]), 0)
}

// Status returns the present state.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{
		Limit: a.limit, Used: a.used, Peak: a.peak,
		BySource: map[Source]int64{}, ByKind: map[Kind]int64{}, Refused: map[Kind]int64{},
	}
	for source, n := range a.bySource {
		s.BySource[source] = n
	}
	for kind, n := range a.byKind {
		s.ByKind[kind] = n
	}
	for kind, n := range a.refused {
		s.Refused[kind] = n
	}
	return s
}

// fits reports whether a source that holds held bytes in one hold can have n more. The
// caller holds a.mu.
func (a *Account) fits(source Source, held, n int64) bool {
	percent := int64(100)
	if held+n > SmallBytes {
		percent = largePercent
	}
	return a.used+n <= a.limit*percent/100 && a.bySource[source]+n <= a.SourceLimit()*percent/100
}

// add changes the sums. The caller holds a.mu.
func (a *Account) add(source Source, kind Kind, n int64) {
	a.used += n
	a.peak = max(a.peak, a.used)
	a.bySource[source] += n
	a.byKind[kind] += n
}
