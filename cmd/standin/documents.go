package main

import "fmt"

// switchesDocument is a switches document that allows all automatic actions
// except hedge.
const switchesDocument = `{
  "kind": "switches",
  "revision": 1,
  "allow": ["retry", "eject", "spillOver", "handOn", "shed",
    "slowStart", "quarantine", "loadAware", "probe"]
}`

// serviceDocument returns a service document that admits every caller to every
// upstream of the service.
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

// documents returns the switches document and the documents of the services, by
// key.
func documents(services ...string) map[string][]byte {
	out := map[string][]byte{"switches": []byte(switchesDocument)}
	for _, s := range services {
		out["services/"+s] = []byte(serviceDocument(s))
	}
	return out
}
