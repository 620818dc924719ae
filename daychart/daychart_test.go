package daychart_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"pomelodoor.example/pomelodoor/daychart"
)

const report = `{"G":0.5,"windows":[
 {"name":"0","n":469,"worth":0.948,"p50_ms":232.11,"p99_ms":555.23},
 {"name":"2","n":698,"worth":0.579,"p50_ms":357.41,"p99_ms":955.42}]}`

func TestRead(t *testing.T) {
	day, err := daychart.Read("after", strings.NewReader(report))
	if err != nil {
		t.Fatal(err)
	}
	want := daychart.Window{From: 2, Worth: 0.579, P50: 357410 * time.Microsecond, P99: 955420 * time.Microsecond}
	if day.Name != "after" || len(day.Windows) != 2 || day.Windows[1] != want {
		t.Fatalf("got %+v", day)
	}
}

func TestReadRefuses(t *testing.T) {
	tests := map[string]string{
		"nothing":            "",
		"no JSON":            "day 1",
		"cut short":          report[:60],
		"no windows":         `{"G":0.5}`,
		"windows of a list":  `{"windows":{"0":1}}`,
		"a window by name":   `{"windows":[{"name":"noon","worth":1}]}`,
		"a window, no worth": `{"windows":[{"name":"0"}]}`,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := daychart.Read("x", strings.NewReader(text)); !errors.Is(err, daychart.ErrReport) {
				t.Fatalf("error %v, want ErrReport", err)
			}
		})
	}
}

func TestDraw(t *testing.T) {
	var days []daychart.Day
	for _, name := range []string{"before", "after"} {
		day, err := daychart.Read(name, strings.NewReader(report))
		if err != nil {
			t.Fatal(err)
		}
		days = append(days, day)
	}
	var svg bytes.Buffer
	if err := daychart.Draw(&svg, "trouble-3", days); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"trouble-3", "before", "after", "worth", "p99, ms"} {
		if !bytes.Contains(svg.Bytes(), []byte(text)) {
			t.Errorf("%q is not in the chart", text)
		}
	}
	decoder := xml.NewDecoder(&svg)
	for {
		if _, err := decoder.Token(); err != nil {
			if !errors.Is(err, io.EOF) {
				t.Fatalf("not XML: %v", err)
			}
			break
		}
	}
	if err := daychart.Draw(io.Discard, "", nil); !errors.Is(err, daychart.ErrNoDay) {
		t.Fatalf("error %v, want ErrNoDay", err)
	}
}
