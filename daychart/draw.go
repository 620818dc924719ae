package daychart

import (
	"errors"
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart, which holds two plots stacked vertically.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 14 * vg.Centimeter
	plotGap     = 4 * vg.Millimeter
)

// ErrNoDays is returned by Draw when it is given no days.
var ErrNoDays = errors.New("daychart: no days to draw")

// Draw writes an SVG chart of worth and 99th percentile latency over time, with
// one line per day.
func Draw(w io.Writer, title string, days []Day) error {
	if len(days) == 0 {
		return ErrNoDays
	}
	worth, err := linePlot(days, func(window Window) float64 { return window.Worth })
	if err != nil {
		return err
	}
	worth.Title.Text = title
	worth.Y.Label.Text = "worth"
	worth.Y.Min, worth.Y.Max = 0, 1
	latency, err := linePlot(days, func(window Window) float64 { return float64(window.P99) / float64(time.Millisecond) })
	if err != nil {
		return err
	}
	latency.X.Label.Text = "second of the day"
	latency.Y.Label.Text = "p99, ms"
	latency.Y.Min = 0
	canvas := vgsvg.New(chartWidth, chartHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: plotGap}
	rows := plot.Align([][]*plot.Plot{{worth}, {latency}}, tiles, draw.New(canvas))
	worth.Draw(rows[0][0])
	latency.Draw(rows[1][0])
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// linePlot returns a plot of value over time with one line per day.
func linePlot(days []Day, value func(Window) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Legend.Top = false
	for i, day := range days {
		points := make(plotter.XYs, 0, len(day.Windows))
		for _, window := range day.Windows {
			points = append(points, plotter.XY{X: window.StartSeconds, Y: value(window)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw line for %s: %w", day.Name, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(day.Name, line)
	}
	p.Add(plotter.NewGrid())
	return p, nil
}
