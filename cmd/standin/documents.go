package main

import "fmt"

// switchesDocument allows every automatic action.
const switchesDocument = `{
  "kind": "switches",
  "revision": 1,
  "allow": ["retry", "eject", "spillOver", "handOn", "shed",
    "slowStart", "quarantine", "loadAware", "probe"]
}`

// serviceDocument lets every caller use every upstream of a service.
func serviceDocument(service string) string {
	return fmt.Sprintf(`{
  "kind": "service",
  "revision": 1,
  "service": %q,
  "selectors": [{"name": "all", "callers": ["*"]}],
  "limits": {"slots": 12, "queue": 64, "timeoutMs": 2000},
  "budgets": {"probesPerSecond": 2}
}`, service)
}

// documents returns the documents for some services by key.
func documents(services ...string) map[string][]byte {
	out := map[string][]byte{"switches": []byte(switchesDocument)}
	for _, s := range services {
		out["services/"+s] = []byte(serviceDocument(s))
	}
	return out
}
