// Package config holds the operators' documents: which automatic actions are
// allowed, and for each service its labels, selectors, limits and budgets.
//
// A document is one JSON object in camelCase. It is refused as a whole when
// anything in it is wrong, and all its faults are told at once. Documents of
// one key are ordered by Newer, and a Set keeps the newest of each key, so
// that daemons that have seen the same documents in any order agree.
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
