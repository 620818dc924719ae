package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/diff"
	"pomelodoor.example/pomelodoor/lint"
	"pomelodoor.example/pomelodoor/memory"
)

// Errors of check that lead to exitUsage. Warnings alone are errFault.
var (
	// errRefused means that documents have errors, which the command has printed.
	errRefused = errors.New("documents have errors")
	// errCheck means that the check could not be made.
	errCheck = errors.New("cannot check")
)

type checkCommand struct {
	Against  string   `arg:"--against" placeholder:"FILE|DIRECTORY|http://IP:PORT" help:"show what differs from the version in force: a document, a directory of documents, or the admin address of a daemon"`
	Zones    string   `arg:"--zones" placeholder:"JSON" help:"availability zones and their regions, as a JSON object"`
	MemoryMB int64    `arg:"--memory-mb" placeholder:"MB" help:"memory of the smallest daemon, for the check of body limits"`
	JSON     bool     `arg:"--json" help:"print JSON"`
	Files    []string `arg:"positional,required" placeholder:"FILE" help:"documents to check, or directories of them"`
}

// checkReport is the result of a check, as --json prints it.
type checkReport struct {
	Result    lint.Severity     `json:"result"`
	Documents []checkedDocument `json:"documents"`
	Findings  []lint.Finding    `json:"findings"`
	// Against is what the documents were compared with, if anything.
	Against string        `json:"against,omitempty"`
	Changes []diff.Change `json:"changes,omitempty"`
}

// checkedDocument is a document that daemons would accept.
type checkedDocument struct {
	File     string `json:"file"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	Warnings int    `json:"warnings"`
}

// run prints the findings about all files in the form file:line: field: text, and what
// differs from the version in force.
func (c *checkCommand) run(out io.Writer) error {
	report, err := c.report()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return fmt.Errorf("%w: print report: %w", errCheck, err)
		}
	} else {
		report.print(out)
	}
	switch report.Result {
	case lint.Error:
		return errRefused
	case lint.Warning:
		return errFault
	}
	return nil
}

// report checks the files.
func (c *checkCommand) report() (checkReport, error) {
	in, err := c.lintInput()
	if err != nil {
		return checkReport{}, err
	}
	var invalid []lint.Finding
	in.Sources, invalid = readSources(c.Files)
	// The lists are empty in JSON, not null.
	r := checkReport{Documents: []checkedDocument{}, Findings: []lint.Finding{}, Against: c.Against}
	r.Findings = append(r.Findings, invalid...)
	r.Findings = append(r.Findings, lint.Check(in)...)
	r.Result = lint.Worst(r.Findings)
	documents := make([]config.Document, 0, len(in.Sources))
	for _, s := range in.Sources {
		d := s.Document
		documents = append(documents, d)
		if errorCount, warnings := count(r.Findings, s.File); errorCount == 0 {
			r.Documents = append(r.Documents, checkedDocument{
				File: s.File, Key: d.Key(), Revision: d.Revision(), Digest: d.Digest(), Warnings: warnings,
			})
		}
	}
	if c.Against != "" {
		r.Changes = diff.Compare(in.InForce, documents)
	}
	return r, nil
}

// lintInput returns what the flags describe, without the sources.
func (c *checkCommand) lintInput() (in lint.Input, err error) {
	if c.MemoryMB > 0 {
		in.AccountBytes = memory.AccountBytes(float64(c.MemoryMB))
	}
	if in.Regions, err = c.regions(); err != nil {
		return in, err
	}
	in.InForce, err = documentsInForce(c.Against)
	return in, err
}

// regions returns the table of --zones, or nil without it.
func (c *checkCommand) regions() (map[string]string, error) {
	if c.Zones == "" {
		return nil, nil
	}
	regions := map[string]string{}
	if err := json.Unmarshal([]byte(c.Zones), &regions); err != nil {
		return nil, fmt.Errorf("%w: --zones: %w", errCheck, err)
	}
	return regions, nil
}

// readSources reads documents. Files that cannot be read, and invalid documents, become
// findings.
func readSources(paths []string) (sources []lint.Source, invalid []lint.Finding) {
	for _, path := range paths {
		files, err := documentFiles(path)
		if err != nil {
			invalid = append(invalid, unreadable(path, err))
		}
		for _, file := range files {
			d, err := readDocument(file)
			var faults *config.InvalidError
			switch {
			case errors.As(err, &faults):
				for _, f := range faults.Faults() {
					invalid = append(invalid, lint.Finding{Fault: f, Severity: lint.Error})
				}
			case err != nil:
				invalid = append(invalid, unreadable(file, err))
			default:
				sources = append(sources, lint.Source{File: file, Document: d})
			}
		}
	}
	return sources, invalid
}

func unreadable(path string, err error) lint.Finding {
	return lint.Finding{Severity: lint.Error, Fault: config.Fault{File: path, Line: 1, Field: "document", Text: err.Error()}}
}

// count returns the numbers of errors and warnings of a file.
func count(findings []lint.Finding, file string) (errorCount, warnings int) {
	for _, f := range findings {
		switch {
		case f.File != file:
		case f.Severity == lint.Error:
			errorCount++
		default:
			warnings++
		}
	}
	return errorCount, warnings
}

// print writes the report as text.
func (r checkReport) print(out io.Writer) {
	for _, f := range r.Findings {
		printLine(out, f.String())
	}
	for _, d := range r.Documents {
		verdict := "good"
		if d.Warnings > 0 {
			verdict = "valid with warnings"
		}
		printLine(out, fmt.Sprintf("%s: %s: %s revision %d digest %s", d.File, verdict, d.Key, d.Revision, d.Digest))
	}
	if r.Against == "" {
		return
	}
	if len(r.Changes) == 0 {
		printLine(out, "no difference from "+r.Against)
		return
	}
	printLine(out, "differences from "+r.Against+":")
	for _, change := range r.Changes {
		printLine(out, "  "+change.String())
	}
}

func readDocument(file string) (config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return config.Document{}, fmt.Errorf("read document: %w", err)
	}
	d, err := config.Parse(file, data)
	if err != nil {
		return d, fmt.Errorf("parse document: %w", err)
	}
	return d, nil
}
