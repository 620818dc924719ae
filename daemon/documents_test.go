package daemon_test

import (
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/config"
	"pomelodoor.example/pomelodoor/node"
)

// TestDocumentsPage guards against a page on which a document in force is missing, or has
// another text than the operators wrote.
func TestDocumentsPage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	awaitStatus(t, f.admin[0], func(s node.Status) bool { return s.Configuration.Documents == 2 })
	code, body, err := fasthttp.Get(nil, "http://"+f.admin[0]+"/documents")
	check(t, err)
	var page struct {
		Documents []struct {
			Key, Digest string
			Revision    uint64
			Document    json.RawMessage
		}
	}
	if err := json.Unmarshal(body, &page); err != nil || code != fasthttp.StatusOK || len(page.Documents) != 2 {
		t.Fatalf("got status %d, error %v, page %s", code, err, body)
	}
	for i, text := range []string{serviceDocument, switchesDocument} {
		got := page.Documents[i]
		d, err := config.ParseKey("", got.Key, got.Document)
		if err != nil || string(got.Document) != text || d.Digest() != got.Digest || d.Revision() != got.Revision {
			t.Errorf("got %+v, error %v, want the text %s", got, err, text)
		}
	}
}
