package lint

import (
	"slices"
	"strconv"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

// budgetActions lists the budgets of a service document by the action that spends them.
var budgetActions = []struct {
	field  string
	action config.Action
}{
	{"probesPerSecond", config.Probe},
	{"retryPercent", config.Retry},
	{"hedgePercent", config.Hedge},
	{"ejectPercent", config.Eject},
}

// budgets reports budgets of actions that the switches do not allow. While all actions are
// off, which is meant to pass, none is reported.
func (c *checker) budgets(budgets config.Element) {
	d, ok := c.set.Document(config.KeySwitches)
	if !ok || d.Switches().AllOff() {
		return
	}
	for _, b := range budgetActions {
		if at := budgets.Field(b.field); spends(at) && !d.Switches().Lists(b.action) {
			c.warn(at, "is %s, but the switches do not allow %s", at.Text(), b.action)
		}
	}
}

// spends reports whether a document states a budget above 0.
func spends(budget config.Element) bool {
	value, err := strconv.ParseFloat(budget.Text(), 64)
	return err == nil && value > 0
}

// switches reports actions that are off although documents in force have budgets for them.
// Those of documents that are checked themselves are reported there.
func (c *checker) switches(switches *config.Switches, root config.Element) {
	if switches.AllOff() {
		return
	}
	services := map[string][]string{}
	for _, d := range c.set.Documents() {
		checked := slices.ContainsFunc(c.Sources, func(s Source) bool { return s.Document.Key() == d.Key() })
		if d.Service() == nil || checked {
			continue
		}
		budgets := d.Root().Field("budgets")
		for _, b := range budgetActions {
			if spends(budgets.Field(b.field)) {
				services[b.field] = append(services[b.field], d.Service().Name())
			}
		}
	}
	for _, b := range budgetActions {
		if names := services[b.field]; len(names) > 0 && !switches.Lists(b.action) {
			c.warn(root.Field("allow"), "does not list %s, although %d documents in force set budgets.%s (%s)",
				b.action, len(names), b.field, abbreviate(names))
		}
	}
}

// abbreviate returns the first names of a list.
func abbreviate(names []string) string {
	const most = 5
	if len(names) <= most {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:most], ", ") + ", ..."
}
