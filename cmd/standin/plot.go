package main

import (
	"errors"
	"fmt"
	"os"

	"pomelodoor.example/pomelodoor/daychart"
)

// plotArgs holds the flags of `standin plot`.
type plotArgs struct {
	Out     string   `arg:"--out,required" placeholder:"FILE" help:"SVG file to write"`
	Title   string   `arg:"--title" help:"what stands above the chart"`
	Names   []string `arg:"--name,separate" placeholder:"NAME" help:"what a report is called in the chart, once for each; its file's name if left out"`
	Reports []string `arg:"positional,required" placeholder:"REPORT" help:"reports of a day on the users' bench"`
}

func (a *plotArgs) run() error {
	if len(a.Names) > len(a.Reports) {
		return fmt.Errorf("%w: %d names for %d reports", errInvalidArgs, len(a.Names), len(a.Reports))
	}
	var days []daychart.Day
	for i, path := range a.Reports {
		name := path
		if i < len(a.Names) {
			name = a.Names[i]
		}
		day, err := readDay(name, path)
		if err != nil {
			return err
		}
		days = append(days, day)
	}
	return writeChart(a.Out, a.Title, days)
}

func readDay(name, path string) (daychart.Day, error) {
	file, err := os.Open(path)
	if err != nil {
		return daychart.Day{}, fmt.Errorf("open report: %w", err)
	}
	defer func() { _ = file.Close() }()
	day, err := daychart.Read(name, file)
	if err != nil {
		return daychart.Day{}, fmt.Errorf("read report %s: %w", path, err)
	}
	return day, nil
}

func writeChart(path, title string, days []daychart.Day) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create chart file: %w", err)
	}
	err = daychart.Draw(file, title, days)
	return errors.Join(err, file.Close())
}
