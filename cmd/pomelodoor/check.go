package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"pomelodoor.example/pomelodoor/config"
)

type checkCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"documents to check"`
}

// run prints all faults of all files in the form file:line: field: text.
func (c *checkCommand) run(out io.Writer) error {
	faulty := false
	for _, file := range c.Files {
		d, err := readDocument(file)
		switch {
		case errors.Is(err, config.ErrInvalid):
			faulty = true
			_, _ = fmt.Fprint(out, config.FormatFaults(err))
		case err != nil:
			return err
		default:
			_, _ = fmt.Fprintf(out, "%s: good: %s revision %d digest %s\n", file, d.Key(), d.Revision(), d.Digest())
		}
	}
	if faulty {
		return errFault
	}
	return nil
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
