package main

import (
	"encoding/json"
	"fmt"
	"io"

	"pomelodoor.example/pomelodoor/burn"
)

type burnCommand struct {
	JSON  bool     `arg:"--json" help:"print JSON"`
	Admin []string `arg:"positional,required" placeholder:"IP:PORT" help:"admin addresses of daemons"`
}

// expvarPage is the part of a daemon's expvar page that this command reads.
type expvarPage struct {
	Pomelodoor struct {
		Burn burn.Report `json:"burn"`
	} `json:"pomelodoor"`
}

// run prints the sum of the burn of all daemons. A daemon that cannot be queried is
// a fault, because its failed calls are missing from the sum.
func (c *burnCommand) run(out io.Writer) error {
	var reports []burn.Report
	faulty := false
	for _, address := range c.Admin {
		var v expvarPage
		if err := getJSON(address, "/debug/vars", &v); err != nil {
			faulty = true
			_, _ = fmt.Fprintf(out, "missing: %v\n", err)
			continue
		}
		reports = append(reports, v.Pomelodoor.Burn)
	}
	total := burn.Merge(reports...)
	if c.JSON {
		if err := json.NewEncoder(out).Encode(total); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
	} else {
		_, _ = fmt.Fprint(out, total)
	}
	if faulty {
		return errFault
	}
	return nil
}
