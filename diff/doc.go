// Package diff describes in words what changes for callers and upstreams when documents
// replace those in force: route by route, service by service, zone by zone and switch by
// switch.
//
// Values are compared as they take effect, with defaults filled in. A value that is omitted
// and one that states the default are the same.
//
//	for _, change := range diff.Compare(inForce, documents) {
//		fmt.Println(change)
//	}
package diff
