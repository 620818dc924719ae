package config

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Defaults of a service document.
const (
	defaultSlots           = 8
	connectionsPerSlot     = 20
	queuePerSlot           = 2
	defaultTimeoutMs       = 10_000
	defaultMaxBodyBytes    = 16 << 20
	defaultProbesPerSecond = 1
	defaultRetryPercent    = 10
	defaultHedgePercent    = 2
	defaultEjectPercent    = 34
	defaultControlBytes    = 7_000
	defaultAvailability    = 99.9
	defaultLatencyMs       = 500
	defaultLatencyPercent  = 99
)

// Bounds of a service document.
const (
	maxSlots           = 10_000
	maxConnections     = 100_000
	maxQueue           = 100_000
	maxTimeoutMs       = 3_600_000
	maxBodyBytes       = 1 << 40
	maxProbesPerSecond = 100
	maxEjectPercent    = 50
	minControlBytes    = 100
	maxControlBytes    = 1_000_000
	maxLevelPercent    = 99.9999
)

// Limits bound what one instance of a service takes.
type Limits struct {
	slots       int
	connections int
	queue       int
	timeout     time.Duration
	maxBody     int64
}

// Slots returns how many calls one upstream runs at once.
func (l Limits) Slots() int { return l.slots }

// Connections returns how many connections a daemon holds to its upstream at
// most.
func (l Limits) Connections() int { return l.connections }

// Queue returns how many calls wait for a slot at most; 0 is no queue.
func (l Limits) Queue() int { return l.queue }

// Timeout returns the deadline of a call that brings none, and the longest
// that a caller may ask for.
func (l Limits) Timeout() time.Duration { return l.timeout }

// MaxBodyBytes returns the size of the largest request body.
func (l Limits) MaxBodyBytes() int64 { return l.maxBody }

func (r *reader) limits(root object) Limits {
	o := root.child("limits", "slots", "connections", "queue", "timeoutMs", "maxBodyBytes")
	slots := o.whole("slots", 1, maxSlots, defaultSlots)
	l := Limits{
		slots:       int(slots),
		connections: int(o.whole("connections", 1, maxConnections, min(slots*connectionsPerSlot, maxConnections))),
		queue:       int(o.whole("queue", 0, maxQueue, slots*queuePerSlot)),
		timeout:     time.Duration(o.whole("timeoutMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		maxBody:     int64(o.whole("maxBodyBytes", 0, maxBodyBytes, defaultMaxBodyBytes)),
	}
	if n, ok := o.field("connections"); ok && l.connections < l.slots {
		r.fault(n.line, o.at("connections"), "is %d, below the %d slots, each of which needs one", l.connections, l.slots)
	}
	return l
}

// Budgets bound the load that automatic actions add.
type Budgets struct {
	probesPerSecond float64
	retryPercent    float64
	hedgePercent    float64
	ejectPercent    float64
	controlBytes    int
}

// ProbesPerSecond returns how often one upstream is probed at most.
func (b Budgets) ProbesPerSecond() float64 { return b.probesPerSecond }

// RetryPercent returns how many retries are made at most for 100 calls.
func (b Budgets) RetryPercent() float64 { return b.retryPercent }

// HedgePercent returns how many hedges are made at most for 100 calls.
func (b Budgets) HedgePercent() float64 { return b.hedgePercent }

// EjectPercent returns how many of 100 instances are ejected at most.
func (b Budgets) EjectPercent() float64 { return b.ejectPercent }

// ControlBytesPerSecond returns what one daemon sends to others at most, not
// counting calls.
func (b Budgets) ControlBytesPerSecond() int { return b.controlBytes }

func (r *reader) budgets(root object) Budgets {
	o := root.child("budgets", "probesPerSecond", "retryPercent", "hedgePercent", "ejectPercent", "controlBytesPerSecond")
	return Budgets{
		probesPerSecond: o.number("probesPerSecond", 0, maxProbesPerSecond, defaultProbesPerSecond),
		retryPercent:    o.number("retryPercent", 0, 100, defaultRetryPercent),
		hedgePercent:    o.number("hedgePercent", 0, 100, defaultHedgePercent),
		ejectPercent:    o.number("ejectPercent", 0, maxEjectPercent, defaultEjectPercent),
		controlBytes:    int(o.whole("controlBytesPerSecond", minControlBytes, maxControlBytes, defaultControlBytes)),
	}
}

// Level is the service level that operators promise for a service.
type Level struct {
	availability   float64
	latency        time.Duration
	latencyPercent float64
}

// DefaultLevel returns the level of a service that states none.
func DefaultLevel() Level {
	return Level{
		availability:   defaultAvailability,
		latency:        defaultLatencyMs * time.Millisecond,
		latencyPercent: defaultLatencyPercent,
	}
}

// Availability returns the share of calls to be answered, in percent.
func (l Level) Availability() float64 { return l.availability }

// Latency returns the time within which LatencyPercent of calls are answered.
func (l Level) Latency() time.Duration { return l.latency }

// LatencyPercent returns the share of calls to be answered within Latency, in
// percent.
func (l Level) LatencyPercent() float64 { return l.latencyPercent }

func (r *reader) level(root object) Level {
	o := root.child("serviceLevel", "availability", "latencyMs", "latencyPercent")
	ms := o.whole("latencyMs", 1, maxTimeoutMs, defaultLatencyMs)
	return Level{
		availability:   o.number("availability", 0, maxLevelPercent, defaultAvailability),
		latency:        time.Duration(ms) * time.Millisecond,
		latencyPercent: o.number("latencyPercent", 0, maxLevelPercent, defaultLatencyPercent),
	}
}

// priorityRule gives a priority to the callers that it matches.
type priorityRule struct {
	callers  patterns
	priority call.Priority
}

func (r *reader) priorities(root object) []priorityRule {
	items, _ := root.list("priorities", maxRules)
	rules := make([]priorityRule, 0, len(items))
	for i, item := range items {
		o := r.object(item, indexed("priorities", i), "callers", "priority")
		rules = append(rules, priorityRule{
			callers:  o.patterns("callers"),
			priority: call.Priority(o.text("priority", checkPriority)),
		})
	}
	return rules
}

func checkPriority(text string) string {
	switch call.Priority(text) {
	case call.High, call.Normal, call.Low:
		return ""
	}
	return "is no priority, want high, normal or low"
}
