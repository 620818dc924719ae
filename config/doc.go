// Package config parses and holds the operators' configuration documents: the
// allowed automatic actions, the routes, and the labels, selectors, limits and
// budgets of each service.
//
// A document is one JSON object with camelCase field names. A single fault
// rejects the whole document, and all its faults are reported together.
// Documents with the same key are ordered by Newer, and a Set keeps the newest
// one for each key, so daemons that have received the same documents agree
// whatever the order of arrival.
//
//	d, err := config.Parse("faults.json", data)
//	if err != nil {
//		fmt.Print(config.FormatFaults(err))
//		return err
//	}
//	set := config.NewSet()
//	changed, conflict := set.Apply(d)
//	set.Confirm()
//	if set.Allowed(config.Retry) { ... }
package config
