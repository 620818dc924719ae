package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"pomelodoor.example/pomelodoor/config"
)

var errExplain = errors.New("cannot explain")

type explainCommand struct {
	Caller     string   `arg:"--caller,required" placeholder:"NAME" help:"caller to explain"`
	Instances  []string `arg:"--instance,separate" placeholder:"ID:ZONE" help:"instance and its availability zone; may be repeated"`
	Evacuation string   `arg:"--evacuation" placeholder:"FILE" help:"zones document in force, if there is one"`
	File       string   `arg:"positional,required" placeholder:"FILE" help:"document of the service"`
}

// run prints which selector matches the caller and which instances it allows.
func (c *explainCommand) run(out io.Writer) error {
	d, err := readDocument(c.File)
	if errors.Is(err, config.ErrInvalid) {
		_, _ = fmt.Fprint(out, config.FormatFaults(err))
		return errFault
	}
	if err != nil {
		return err
	}
	if d.Kind() != config.KindService {
		return fmt.Errorf("%w: %s is not a service document", errExplain, c.File)
	}
	zones, err := c.zones()
	if err != nil {
		return err
	}
	var candidates []config.Candidate
	for _, text := range c.Instances {
		id, zone, ok := strings.Cut(text, ":")
		if !ok {
			return fmt.Errorf("%w: --instance %q is not ID:ZONE", errExplain, text)
		}
		evacuated := zones != nil && zones.Evacuates(zone)
		candidates = append(candidates, config.Candidate{Instance: id, AvailabilityZone: zone, Evacuated: evacuated})
	}
	printExplanation(out, config.Explain(d.Service(), c.Caller, candidates...))
	return nil
}

// zones returns the content of the zones document, or nil if none is given.
func (c *explainCommand) zones() (*config.Zones, error) {
	if c.Evacuation == "" {
		return nil, nil
	}
	d, err := readDocument(c.Evacuation)
	if err != nil {
		return nil, err
	}
	if d.Kind() != config.KindZones {
		return nil, fmt.Errorf("%w: %s is not a zones document", errExplain, c.Evacuation)
	}
	return d.Zones(), nil
}

func printExplanation(out io.Writer, e config.Explanation) {
	_, _ = fmt.Fprint(out, e)
}
