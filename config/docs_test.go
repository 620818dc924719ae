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

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../docs/" + path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func parseExamples(t *testing.T, path string) []config.Document {
	t.Helper()
	var documents []config.Document
	for _, block := range regexp.MustCompile("(?s)```json\n(.*?)```").FindAllStringSubmatch(readPage(t, path), -1) {
		documents = append(documents, mustParse(t, block[1]))
	}
	return documents
}

func TestDocumentedExamples(t *testing.T) {
	documents := parseExamples(t, "configuration.md")
	if len(documents) != 4 || documents[0].Switches() == nil || documents[1].Service() == nil || documents[2].Routes() == nil || documents[3].Zones() == nil {
		t.Fatalf("got %d examples, want a switches, a service, a routes and a zones document", len(documents))
	}
	for _, a := range config.Actions() {
		if !strings.Contains(readPage(t, "configuration.md"), fmt.Sprintf("\n| `%s` |", a)) {
			t.Errorf("action %s is not documented", a)
		}
	}
}

func TestHolidayPage(t *testing.T) {
	documents := parseExamples(t, "operators/holiday.md")
	if len(documents) != 1 || !documents[0].Switches().AllOff() || len(documents[0].Switches().Allowed()) != 0 {
		t.Fatal("the page has no single example that switches all actions off")
	}
	text := readPage(t, "operators/holiday.md")
	for _, want := range []string{
		fmt.Sprintf("good: switches revision %d digest %s\n", documents[0].Revision(), documents[0].Digest()),
		"grep -c " + documents[0].Digest(),
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}

// TestDocumentedNumbers checks the documented default and bounds of each number
// against Parse.
func TestDocumentedNumbers(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| `(limits|budgets|serviceLevel)\\.(\\w+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]+) \\|")
	rows := row.FindAllStringSubmatch(readPage(t, "configuration.md"), -1)
	if len(rows) != 13 {
		t.Fatalf("got %d rows, want 13", len(rows))
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
			for bound, step := range map[string]float64{r[4]: -1, r[5]: 1} {
				if _, err := parse(bound); err != nil {
					t.Errorf("bound %s is rejected: %v", bound, err)
				}
				v, err := strconv.ParseFloat(bound, 64)
				if err != nil {
					t.Fatal(err)
				}
				if outside := strconv.FormatFloat(v+step, 'f', -1, 64); !rejects(parse, outside) {
					t.Errorf("%s is outside the documented bounds but accepted", outside)
				}
			}
			if strings.Contains(r[3], "slots") {
				return // the default depends on slots; covered by TestDefaults
			}
			d, err := parse(r[3])
			if err != nil || !reflect.DeepEqual(d.Service(), mustParse(t, service("")).Service()) {
				t.Errorf("%s is not the default: %v", r[3], err)
			}
		})
	}
}

func rejects(parse func(string) (config.Document, error), value string) bool {
	_, err := parse(value)
	return err != nil
}
