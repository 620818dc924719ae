package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/node"
)

var errAdmin = errors.New("no status")

// adminTimeout bounds one question to a daemon's admin port.
const adminTimeout = 2 * time.Second

type statusCommand struct {
	JSON  bool     `arg:"--json" help:"print JSON"`
	Admin []string `arg:"positional,required" placeholder:"IP:PORT" help:"admin addresses of daemons"`
}

// run prints a row for each daemon. A daemon that cannot be asked is a fault.
func (c *statusCommand) run(out io.Writer) error {
	faulty := false
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if !c.JSON {
		_, _ = fmt.Fprintln(table, "INSTANCE\tREADY\tSWITCHES\tALLOWED\tDOCUMENTS")
	}
	for _, address := range c.Admin {
		var s node.Status
		if err := ask(address, "/status", &s); err != nil {
			faulty = true
			_, _ = fmt.Fprintf(table, "%s\t%v\n", address, err)
			continue
		}
		if c.JSON {
			_ = json.NewEncoder(out).Encode(s)
			continue
		}
		writeStatus(table, s)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	if faulty {
		return errFault
	}
	return nil
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
	for _, a := range s.Allowed {
		allowed = append(allowed, string(a))
	}
	if len(allowed) == 0 {
		allowed = []string{"nothing"}
	}
	_, _ = fmt.Fprintf(out, "%s\t%t\t%s\t%s\t%s\n", s.Instance, s.Ready, switches,
		strings.Join(allowed, ","), strings.Join(documents, " "))
}

// ask reads JSON from a daemon's admin port.
func ask(address, path string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetRequestURI(path)
	req.Header.SetHost(address)
	pool := exchange.New(exchange.Config{Address: address})
	defer pool.Close()
	if err := pool.Do(ctx, &req, &resp); err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("ask %s: %w: status %d", address, errAdmin, resp.StatusCode())
	}
	var body bytes.Buffer
	if err := resp.BodyWriteTo(&body); err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	if err := json.Unmarshal(body.Bytes(), v); err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	return nil
}
