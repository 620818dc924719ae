package config_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"pomelodoor.example/pomelodoor/config"
)

func page(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../docs/" + path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func examples(t *testing.T, path string) []config.Document {
	t.Helper()
	var documents []config.Document
	for _, block := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(page(t, path), -1) {
		documents = append(documents, mustParse(t, block[1]))
	}
	return documents
}

func TestDocumentedExamples(t *testing.T) {
	documents := examples(t, "configuration.md")
	if len(documents) != 3 || documents[0].Switches() == nil || documents[1].Service() == nil || documents[2].Routes() == nil {
		t.Fatalf("%d documents", len(documents))
	}
	for _, a := range config.Actions() {
		if !strings.Contains(page(t, "configuration.md"), fmt.Sprintf("\n| `%s` |", a)) {
			t.Errorf("action %s is not documented", a)
		}
	}
}

func TestHolidayPage(t *testing.T) {
	documents := examples(t, "operators/holiday.md")
	if len(documents) != 1 || !documents[0].Switches().AllOff() || len(documents[0].Switches().Allowed()) != 0 {
		t.Fatal("the page does not turn all off")
	}
	text := page(t, "operators/holiday.md")
	for _, want := range []string{
		fmt.Sprintf("good: switches revision %d digest %s\n", documents[0].Revision(), documents[0].Digest()),
		"grep -c " + documents[0].Digest(),
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not show %s", want)
		}
	}
}

// TestDocumentedNumbers holds each row of the table of numbers against Parse.
func TestDocumentedNumbers(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| `(limits|budgets|serviceLevel)\\.(\\w+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|")
	rows := row.FindAllStringSubmatch(page(t, "configuration.md"), -1)
	if len(rows) != 13 {
		t.Fatalf("%d rows", len(rows))
	}
	for _, r := range rows {
		t.Run(r[1]+"."+r[2], func(t *testing.T) {
			parse := func(value string) (config.Document, error) {
				fields := fmt.Sprintf(`%q:%s`, r[2], value)
				if r[2] == "connections" {
					fields += `,"slots":1`
				}
				return config.Parse("f.json", []byte(service(fmt.Sprintf(`,%q:{%s}`, r[1], fields))))
			}
			for bound, beyond := range map[string]float64{r[4]: -1, r[5]: 1} {
				if _, err := parse(bound); err != nil {
					t.Errorf("%s: %v", bound, err)
				}
				v, err := strconv.ParseFloat(bound, 64)
				if err != nil {
					t.Fatal(err)
				}
				if outside := strconv.FormatFloat(v+beyond, 'f', -1, 64); !refuses(parse, outside) {
					t.Errorf("%s is accepted", outside)
				}
			}
			if strings.Contains(r[3], "slots") {
				return // TestDefaults covers these
			}
			d, err := parse(r[3])
			if err != nil || !reflect.DeepEqual(d.Service(), mustParse(t, service("")).Service()) {
				t.Errorf("%s is not the default: %v", r[3], err)
			}
		})
	}
}

func refuses(parse func(string) (config.Document, error), value string) bool {
	_, err := parse(value)
	return err != nil
}
