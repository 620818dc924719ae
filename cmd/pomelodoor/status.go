package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/node"
)

var errHTTPStatus = errors.New("unexpected HTTP status")

// adminTimeout limits one query to a daemon's admin port.
const adminTimeout = 2 * time.Second

type statusCommand struct {
	JSON    bool     `arg:"--json" help:"print JSON"`
	Compare bool     `arg:"--compare" help:"print a line for each group of daemons that hold the same"`
	Summary bool     `arg:"--summary" help:"print a summary and the daemons that stand out"`
	Admin   []string `arg:"positional,required" placeholder:"IP:PORT" help:"admin addresses of daemons"`
}

// run prints the status of the daemons. A daemon that cannot be queried is a fault,
// and so are differences between daemons when they are compared.
func (c *statusCommand) run(out io.Writer) error {
	statuses, failures := queryStatuses(c.Admin)
	same, err := c.print(out, statuses)
	if err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	for _, failure := range failures {
		_, _ = fmt.Fprintf(out, "missing: %v\n", failure)
	}
	if len(failures) > 0 || !same {
		return errFault
	}
	return nil
}

// maxQueries limits the daemons that are queried at the same time.
const maxQueries = 32

// queryStatuses queries daemons and returns their statuses by name, and an error for
// each that cannot be queried.
func queryStatuses(addresses []string) (map[string]node.Status, []error) {
	type answer struct {
		status node.Status
		err    error
	}
	answers := make([]answer, len(addresses))
	var queries sync.WaitGroup
	running := make(chan struct{}, maxQueries)
	for i, address := range addresses {
		running <- struct{}{}
		queries.Go(func() {
			answers[i].err = getJSON(address, "/status", &answers[i].status)
			<-running
		})
	}
	queries.Wait()
	statuses := map[string]node.Status{}
	var failures []error
	for _, a := range answers {
		if a.err != nil {
			failures = append(failures, a.err)
			continue
		}
		statuses[a.status.Instance] = a.status
	}
	return statuses, failures
}

// print writes the statuses in the selected format. It returns false if they were
// compared and differ.
func (c *statusCommand) print(out io.Writer, statuses map[string]node.Status) (same bool, err error) {
	names := slices.Sorted(maps.Keys(statuses))
	switch {
	case c.Compare:
		configurations := map[string]config.Status{}
		for _, name := range names {
			configurations[name] = statuses[name].Configuration
		}
		comparison := config.Compare(configurations)
		_, err = fmt.Fprint(out, comparison)
		return comparison.Same(), err
	case c.Summary:
		return true, writeSummary(out, statuses, c.JSON)
	case c.JSON:
		for _, name := range names {
			if err := json.NewEncoder(out).Encode(statuses[name]); err != nil {
				return true, err
			}
		}
		return true, nil
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tREADY\tSWITCHES\tALLOWED\tDOCUMENTS")
	for _, name := range names {
		writeStatus(table, statuses[name])
	}
	if err := table.Flush(); err != nil {
		return true, err
	}
	return true, writeConditions(out, statuses)
}

func writeStatus(out io.Writer, s node.Status) {
	var documents []string
	switches := "none"
	for _, d := range s.Documents {
		if d.Key == "switches" {
			switches = fmt.Sprintf("revision %d", d.Revision)
			continue
		}
		documents = append(documents, fmt.Sprintf("%s@%d", strings.TrimPrefix(d.Key, "services/"), d.Revision))
	}
	var allowed []string
	for _, a := range s.Configuration.Allowed {
		allowed = append(allowed, string(a))
	}
	if len(allowed) == 0 {
		allowed = []string{"nothing"}
	}
	if !s.Configuration.Confirmed {
		allowed = []string{"nothing yet"}
	}
	_, _ = fmt.Fprintf(out, "%s\t%t\t%s\t%s\t%s\n", s.Instance, s.Ready, switches,
		strings.Join(allowed, ","), strings.Join(documents, " "))
}

// getJSON decodes the JSON response of a daemon's admin port.
func getJSON(address, path string, v any) error {
	return getJSONWithin(address, path, adminTimeout, v)
}

func getJSONWithin(address, path string, timeout time.Duration, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetRequestURI(path)
	req.Header.SetHost(address)
	pool := exchange.New(exchange.Config{Address: address})
	defer pool.Close()
	if err := pool.Do(ctx, &req, &resp); err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("query %s: %w: %d", address, errHTTPStatus, resp.StatusCode())
	}
	var body bytes.Buffer
	if err := resp.BodyWriteTo(&body); err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	if err := json.Unmarshal(body.Bytes(), v); err != nil {
		return fmt.Errorf("query %s: %w", address, err)
	}
	return nil
}
