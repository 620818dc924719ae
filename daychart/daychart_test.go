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
	want := daychart.Window{StartSeconds: 2, Worth: 0.579, P50: 357410 * time.Microsecond, P99: 955420 * time.Microsecond}
	if day.Name != "after" || len(day.Windows) != 2 || day.Windows[1] != want {
		t.Fatalf("Read() = %+v, want day \"after\" with two windows, the second as in the report", day)
	}
}

func TestReadInvalidReport(t *testing.T) {
	tests := map[string]string{
		"empty":                       "",
		"not JSON":                    "day 1",
		"truncated":                   report[:60],
		"no windows":                  `{"G":0.5}`,
		"windows is not an array":     `{"windows":{"0":1}}`,
		"window name is not a number": `{"windows":[{"name":"noon","worth":1}]}`,
		"window without worth":        `{"windows":[{"name":"0"}]}`,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := daychart.Read("x", strings.NewReader(text)); !errors.Is(err, daychart.ErrInvalidReport) {
				t.Fatalf("Read() error = %v, want ErrInvalidReport", err)
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
			t.Errorf("chart does not contain %q", text)
		}
	}
	decoder := xml.NewDecoder(&svg)
	for {
		if _, err := decoder.Token(); err != nil {
			if !errors.Is(err, io.EOF) {
				t.Fatalf("chart is not valid XML: %v", err)
			}
			break
		}
	}
	if err := daychart.Draw(io.Discard, "", nil); !errors.Is(err, daychart.ErrNoDays) {
		t.Fatalf("Draw() error = %v, want ErrNoDays", err)
	}
}
