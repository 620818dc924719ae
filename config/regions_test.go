package config_test

import (
	"fmt"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
)

// regionRoutes is a routes document whose routes have the given further fields, in JSON.
func regionRoutes(fields ...string) string {
	var routes []string
	for i, text := range fields {
		routes = append(routes, fmt.Sprintf(`{"name":"look","host":"h","prefix":"/%d/","parts":[{"service":"s"}]%s}`, i, text))
	}
	return `{"kind":"routes","revision":1,"services":[{"service":"s"}],"routes":[` + strings.Join(routes, ",") + `]}`
}

// TestRegionsOfRoute guards against requests that may run in a region which their route does
// not name.
func TestRegionsOfRoute(t *testing.T) {
	tests := map[string]struct {
		fields            []string
		fault             string
		north, south, any bool
	}{
		"none":             {[]string{``}, "", true, true, true},
		"one":              {[]string{`,"regions":["north"]`}, "", true, false, false},
		"two":              {[]string{`,"regions":["south","north"]`}, "", true, true, false},
		"another":          {[]string{`,"regions":["east"]`}, "", false, false, false},
		"empty list":       {[]string{`,"regions":[]`}, "is empty", false, false, false},
		"empty name":       {[]string{`,"regions":[""]`}, "is empty", false, false, false},
		"repeated":         {[]string{`,"regions":["a","a"]`}, "listed twice", false, false, false},
		"text":             {[]string{`,"regions":"north"`}, "want list", false, false, false},
		"same by name":     {[]string{`,"regions":["north"]`, `,"regions":["north"]`}, "", true, false, false},
		"differ by name":   {[]string{`,"regions":["north"]`, `,"regions":["south"]`}, "differ from those", false, false, false},
		"one unrestricted": {[]string{``, `,"regions":["south"]`}, "differ from those", false, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := config.Parse("routes.json", []byte(regionRoutes(test.fields...)))
			if faults := config.FormatFaults(err); (err == nil) != (test.fault == "") || !strings.Contains(faults, test.fault) {
				t.Fatalf("got faults %q, want %q", faults, test.fault)
			}
			if err != nil {
				return
			}
			route, ok := d.Routes().Named("look")
			if !ok || route.AllowsRegion("north") != test.north || route.AllowsRegion("south") != test.south || route.AllowsRegion("") != test.any {
				t.Errorf("got regions %v", route.Regions())
			}
			if restricted := d.Routes().HasRegions(); restricted == test.any {
				t.Errorf("restricted %t", restricted)
			}
		})
	}
	a, b := mustParse(t, regionRoutes(`,"regions":["a","b"]`)), mustParse(t, regionRoutes(`,"regions":["b","a"]`))
	if a.Digest() != b.Digest() {
		t.Error("the order of regions changes the digest")
	}
}
