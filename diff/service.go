package diff

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// serviceValues lists the numbers of a service document.
var serviceValues = []struct {
	name string
	text func(*config.Service) string
}{
	{"number of calls that one upstream runs at once (limits.slots)", func(s *config.Service) string { return fmt.Sprint(s.Limits().Slots()) }},
	{"number of connections to an upstream (limits.connections)", func(s *config.Service) string { return fmt.Sprint(s.Limits().Connections()) }},
	{"number of calls that wait for a slot (limits.queue)", func(s *config.Service) string { return fmt.Sprint(s.Limits().Queue()) }},
	{"longest deadline of a call (limits.timeoutMs)", func(s *config.Service) string { return s.Limits().Timeout().String() }},
	{"largest request body (limits.maxBodyBytes)", func(s *config.Service) string { return bytesText(s.Limits().MaxBodyBytes()) }},
	{"probes per second (budgets.probesPerSecond)", func(s *config.Service) string { return fmt.Sprint(s.Budgets().ProbesPerSecond()) }},
	{"retries per 100 calls (budgets.retryPercent)", func(s *config.Service) string { return fmt.Sprint(s.Budgets().RetryPercent()) }},
	{"hedges per 100 calls (budgets.hedgePercent)", func(s *config.Service) string { return fmt.Sprint(s.Budgets().HedgePercent()) }},
	{"ejected instances per 100 (budgets.ejectPercent)", func(s *config.Service) string { return fmt.Sprint(s.Budgets().EjectPercent()) }},
	{"control traffic of a daemon (budgets.controlBytesPerSecond)", func(s *config.Service) string { return fmt.Sprint(s.Budgets().ControlBytesPerSecond(), " bytes/s") }},
	{"answered calls of the service level (serviceLevel.availability)", func(s *config.Service) string { return fmt.Sprint(s.ServiceLevel().Availability(), " %") }},
	{"response time of the service level (serviceLevel.latencyMs)", func(s *config.Service) string { return s.ServiceLevel().Latency().String() }},
	{"responses within that time (serviceLevel.latencyPercent)", func(s *config.Service) string { return fmt.Sprint(s.ServiceLevel().LatencyPercent(), " %") }},
}

// service compares a service with the one in force. A service without a document has
// defaults as soon as a routes document lists it.
func (c *comparison) service(after *config.Service) {
	before, ok := c.old.Service(after.Name())
	if !ok {
		return
	}
	for _, v := range serviceValues {
		c.value("", v.name, v.text(before), v.text(after))
	}
	c.selectors(before, after)
	c.lists("labels", labelRules(before), labelRules(after))
	c.lists("priorities", priorities(before), priorities(after))
}

// selectors compares the selectors by their names.
func (c *comparison) selectors(before, after *config.Service) {
	old, next := selectorTexts(before), selectorTexts(after)
	for _, s := range after.Selectors() {
		text, exists := old[s.Name()]
		switch {
		case !exists:
			c.add("selector "+s.Name(), "is new: %s", next[s.Name()])
		case text != next[s.Name()]:
			c.add("selector "+s.Name(), "now: %s, before: %s", next[s.Name()], text)
		}
	}
	for _, s := range before.Selectors() {
		if _, exists := next[s.Name()]; !exists {
			c.add("selector "+s.Name(), "is removed: %s", old[s.Name()])
		}
	}
	if len(next) == 0 && len(old) > 0 {
		c.add("", "serves no caller any more")
	}
	was, is := sharedOrder(before, next), sharedOrder(after, old)
	if !slices.Equal(was, is) {
		c.add("selectors", "are now tried in the order %s, before %s", strings.Join(is, ", "), strings.Join(was, ", "))
	}
}

func selectorTexts(service *config.Service) map[string]string {
	m := map[string]string{}
	for _, s := range service.Selectors() {
		m[s.Name()] = fmt.Sprintf("callers %s get upstreams with %s", patterns(s.Callers()), labels(s.Upstreams()))
	}
	return m
}

// sharedOrder returns the names of the selectors that both versions have, in order.
func sharedOrder(service *config.Service, other map[string]string) []string {
	var names []string
	for _, s := range service.Selectors() {
		if _, shared := other[s.Name()]; shared {
			names = append(names, s.Name())
		}
	}
	return names
}

func labelRules(service *config.Service) []string {
	var rules []string
	for _, r := range service.LabelRules() {
		rules = append(rules, fmt.Sprintf("instances %s in zones %s have %s",
			patterns(r.Instances()), patterns(r.AvailabilityZones()), labels(r.Labels())))
	}
	return rules
}

func priorities(service *config.Service) []string {
	var rules []string
	for _, r := range service.Priorities() {
		rules = append(rules, fmt.Sprintf("callers %s have priority %s", patterns(r.Callers()), r.Priority()))
	}
	return rules
}

// patterns joins patterns in a fixed order, as they are sets.
func patterns(list []string) string {
	if len(list) == 0 {
		return "*"
	}
	return strings.Join(slices.Sorted(slices.Values(list)), " ")
}

func labels(m map[string]string) string {
	if len(m) == 0 {
		return "any labels"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, name+"="+m[name])
	}
	return strings.Join(parts, " ")
}

func bytesText(n int64) string { return fmt.Sprintf("%d bytes", n) }
