package config

import (
	"time"

	"pomelodoor.example/pomelodoor/call"
)

// Defaults of a service document.
const (
	defaultSlots                 = 8
	connectionsPerSlot           = 20
	queuePerSlot                 = 2
	defaultTimeoutMs             = 10_000
	defaultMaxBodyBytes          = 16 << 20
	defaultProbesPerSecond       = 1
	defaultRetryPercent          = 10
	defaultHedgePercent          = 2
	defaultEjectPercent          = 34
	defaultControlBytesPerSecond = 7_000
	defaultAvailabilityPercent   = 99.9
	defaultLatencyMs             = 500
	defaultLatencyPercent        = 99
)

// Bounds of a service document.
const (
	maxSlots                 = 10_000
	MaxConnections           = 100_000
	maxQueue                 = 100_000
	maxTimeoutMs             = 3_600_000
	MaxBodyBytes             = 1 << 40
	maxProbesPerSecond       = 100
	maxEjectPercent          = 50
	minControlBytesPerSecond = 100
	maxControlBytesPerSecond = 1_000_000
	maxLevelPercent          = 99.9999
)

// Limits holds the request limits of one instance of a service.
type Limits struct {
	slots       int
	connections int
	queue       int
	timeout     time.Duration
	maxBody     int64
}

// Slots returns the maximum number of concurrent calls of one upstream.
func (l Limits) Slots() int { return l.slots }

// Connections returns the maximum number of connections from a daemon to its
// local upstream.
func (l Limits) Connections() int { return l.connections }

// Queue returns the maximum number of calls waiting for a slot; 0 disables the
// queue.
func (l Limits) Queue() int { return l.queue }

// Timeout returns the default timeout of a call and the longest one that a
// caller may request.
func (l Limits) Timeout() time.Duration { return l.timeout }

// MaxBodyBytes returns the maximum size of a request body.
func (l Limits) MaxBodyBytes() int64 { return l.maxBody }

func (r *reader) limits(root object) Limits {
	o := root.child("limits", "slots", "connections", "queue", "timeoutMs", "maxBodyBytes")
	slots := o.integer("slots", 1, maxSlots, defaultSlots)
	l := Limits{
		slots:       int(slots),
		connections: int(o.integer("connections", 1, MaxConnections, min(slots*connectionsPerSlot, MaxConnections))),
		queue:       int(o.integer("queue", 0, maxQueue, slots*queuePerSlot)),
		timeout:     time.Duration(o.integer("timeoutMs", 1, maxTimeoutMs, defaultTimeoutMs)) * time.Millisecond,
		maxBody:     int64(o.integer("maxBodyBytes", 0, MaxBodyBytes, defaultMaxBodyBytes)),
	}
	if n, ok := o.field("connections"); ok && l.connections < l.slots {
		r.fault(n.line, o.fieldPath("connections"), "is %d, below the %d slots, each of which needs a connection", l.connections, l.slots)
	}
	return l
}

// Budgets limits the extra load caused by automatic actions.
type Budgets struct {
	probesPerSecond       float64
	retryPercent          float64
	hedgePercent          float64
	ejectPercent          float64
	controlBytesPerSecond int
}

// ProbesPerSecond returns the maximum probe rate of one upstream.
func (b Budgets) ProbesPerSecond() float64 { return b.probesPerSecond }

// RetryPercent returns the maximum number of retries per 100 calls.
func (b Budgets) RetryPercent() float64 { return b.retryPercent }

// HedgePercent returns the maximum number of hedges per 100 calls.
func (b Budgets) HedgePercent() float64 { return b.hedgePercent }

// EjectPercent returns the maximum percentage of instances that may be ejected.
func (b Budgets) EjectPercent() float64 { return b.ejectPercent }

// ControlBytesPerSecond returns the maximum rate at which one daemon sends
// control traffic, that is everything but calls, to other daemons.
func (b Budgets) ControlBytesPerSecond() int { return b.controlBytesPerSecond }

func (r *reader) budgets(root object) Budgets {
	o := root.child("budgets", "probesPerSecond", "retryPercent", "hedgePercent", "ejectPercent", "controlBytesPerSecond")
	return Budgets{
		probesPerSecond:       o.number("probesPerSecond", 0, maxProbesPerSecond, defaultProbesPerSecond),
		retryPercent:          o.number("retryPercent", 0, 100, defaultRetryPercent),
		hedgePercent:          o.number("hedgePercent", 0, 100, defaultHedgePercent),
		ejectPercent:          o.number("ejectPercent", 0, maxEjectPercent, defaultEjectPercent),
		controlBytesPerSecond: int(o.integer("controlBytesPerSecond", minControlBytesPerSecond, maxControlBytesPerSecond, defaultControlBytesPerSecond)),
	}
}

// ServiceLevel is the service level objective of a service.
type ServiceLevel struct {
	availabilityPercent float64
	latency             time.Duration
	latencyPercent      float64
}

// DefaultServiceLevel returns the objective of a service whose document sets none.
func DefaultServiceLevel() ServiceLevel {
	return ServiceLevel{
		availabilityPercent: defaultAvailabilityPercent,
		latency:             defaultLatencyMs * time.Millisecond,
		latencyPercent:      defaultLatencyPercent,
	}
}

// Availability returns the target percentage of calls that are answered.
func (l ServiceLevel) Availability() float64 { return l.availabilityPercent }

// Latency returns the time within which LatencyPercent of the calls should be
// answered.
func (l ServiceLevel) Latency() time.Duration { return l.latency }

// LatencyPercent returns the target percentage of calls that are answered within
// Latency.
func (l ServiceLevel) LatencyPercent() float64 { return l.latencyPercent }

func (r *reader) serviceLevel(root object) ServiceLevel {
	o := root.child("serviceLevel", "availability", "latencyMs", "latencyPercent")
	ms := o.integer("latencyMs", 1, maxTimeoutMs, defaultLatencyMs)
	return ServiceLevel{
		availabilityPercent: o.number("availability", 0, maxLevelPercent, defaultAvailabilityPercent),
		latency:             time.Duration(ms) * time.Millisecond,
		latencyPercent:      o.number("latencyPercent", 0, maxLevelPercent, defaultLatencyPercent),
	}
}

// PriorityRule assigns a priority to matching callers.
type PriorityRule struct {
	callers  patterns
	priority call.Priority
}

func (r *reader) priorities(root object) []PriorityRule {
	items, _ := root.list("priorities", maxRules)
	rules := make([]PriorityRule, 0, len(items))
	for i, item := range items {
		o := r.object(item, joinIndex("priorities", i), "callers", "priority")
		rules = append(rules, PriorityRule{
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
	return "is an unknown priority, want high, normal or low"
}
