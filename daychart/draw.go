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

// The size of a chart, which holds two plots, one above the other.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 14 * vg.Centimeter
	plotGap     = 4 * vg.Millimeter
)

// ErrNoDay is returned when there is nothing to draw.
var ErrNoDay = errors.New("daychart: no day to draw")

// Draw writes an SVG with the worth of the seconds and their 99th percentile of
// latency, a line for each day.
func Draw(w io.Writer, title string, days []Day) error {
	if len(days) == 0 {
		return ErrNoDay
	}
	worth, err := lines(days, func(x Window) float64 { return x.Worth })
	if err != nil {
		return err
	}
	worth.Title.Text = title
	worth.Y.Label.Text = "worth"
	worth.Y.Min, worth.Y.Max = 0, 1
	latency, err := lines(days, func(x Window) float64 { return float64(x.P99) / float64(time.Millisecond) })
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
		return fmt.Errorf("write a chart: %w", err)
	}
	return nil
}

// lines returns a plot of one figure, a line for each day.
func lines(days []Day, figure func(Window) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Legend.Top = false
	for i, day := range days {
		points := make(plotter.XYs, 0, len(day.Windows))
		for _, x := range day.Windows {
			points = append(points, plotter.XY{X: x.From, Y: figure(x)})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("draw %s: %w", day.Name, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(day.Name, line)
	}
	p.Add(plotter.NewGrid())
	return p, nil
}
