package once

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelodoor.example/pomelodoor/call"
)

func TestParseKey(t *testing.T) {
	tests := map[string]struct {
		text string
		want Key
		ok   bool
	}{
		"empty":                    {"", Key{}, false},
		"too long":                 {string(make([]byte, MaxKeyBytes+1)), Key{}, false},
		"opaque":                   {"order-17", Key{Kind: Opaque}, true},
		"version 4":                {"2f1c8a4e-7a4b-4c1d-9e55-0123456789ab", Key{Kind: Opaque}, true},
		"version 7":                {"01a23e5a-6264-71ee-81d2-ab2170acc11d", Key{Kind: Timed, CreatedAt: time.UnixMilli(0x01a23e5a6264)}, true},
		"version 7, variant":       {"01a23e5a-6264-71ee-01d2-ab2170acc11d", Key{Kind: Opaque}, true},
		"version 7, not hex":       {"01a23e5a-6264-71ee-81d2-ab2170acc11g", Key{Kind: Opaque}, true},
		"issued":                   {"pomelo1.7.2s.a.orders-1.x", Key{Kind: Issued, Home: Incarnation{"orders-1.x", 7}, Expiry: 100 * time.Millisecond}, true},
		"issued, truncated":        {"pomelo1.7.2s", Key{}, false},
		"issued, expiry too large": {"pomelo1.7.zzzzzzzzzzzz.a.orders-1", Key{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := ParseKey(tt.text)
			if ok != tt.ok || got.Kind != tt.want.Kind || got.Home != tt.want.Home || got.Expiry != tt.want.Expiry || !got.CreatedAt.Equal(tt.want.CreatedAt) {
				t.Errorf("ParseKey returned %+v, %v", got, ok)
			}
		})
	}
}

// TestRoute checks that an issued key is routed only to the incarnation that
// issued it, and that the home of a key chosen by the caller does not change when
// another instance leaves.
func TestRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}\.[0-9]`), 2, 12, rapid.ID[string]).Draw(t, "ids")
		var members []Member
		for i, id := range ids {
			members = append(members, Member{Incarnation{id, uint64(i + 1)}, true})
		}
		issued := formatIssued(members[0].Incarnation, time.Minute, rapid.Uint64().Draw(t, "nonce"))
		if home, ok, _ := Route(issued, members); !ok || home != members[0].Incarnation {
			t.Fatalf("issued key routed to %v, want its issuer", home)
		}
		members[0].Number++
		if _, ok, reason := Route(issued, members); ok || reason != call.KeyHomeGone {
			t.Fatalf("key of an earlier incarnation was routed or refused with reason %q, want keyHomeGone", reason)
		}
		key := rapid.StringN(1, 40, 100).Draw(t, "key")
		home, ok, _ := Route(key, members)
		if !ok {
			return
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		members[gone].Live = false
		after, _, _ := Route(key, members)
		if len(members) <= GroupSize && members[gone].ID != home.ID && after != home {
			t.Fatalf("home changed from %v to %v when %v left", home, after, members[gone])
		}
	})
}

// TestBounds checks that a full Coordinator refuses new keys and evicts no live record,
// and that stored answers stay within their bounds.
func TestBounds(t *testing.T) {
	nonce := uint64(0)
	c := New(Config{Self: Incarnation{"a", 1}, Started: epoch, MaxRecords: 2, MaxAnswerBytes: 4, MaxTotalAnswerBytes: 6, Rand: func() uint64 { nonce++; return nonce }})
	send := func(key string, fingerprint uint64, now time.Time) Action {
		return c.Begin(call.Request{ID: "c", Key: key, Fingerprint: fingerprint}, now)[0]
	}
	var keys []string
	for range 3 {
		key, _ := c.IssueKey(epoch)
		keys = append(keys, key)
	}
	end := epoch.Add(DefaultWindow)
	steps := []struct {
		name string
		got  Action
		want Action
	}{
		{"first", send(keys[0], 1, epoch), Action{Kind: Run}},
		{"second", send(keys[1], 1, epoch), Action{Kind: Run}},
		{"full", send(keys[2], 1, epoch), Action{Kind: Refuse, Outcome: call.NotRun, Reason: call.Overloaded}},
		{"sent again while running", send(keys[0], 1, epoch), Action{Kind: Refuse, Outcome: call.Unknown, Reason: call.InProgress}},
	}
	c.Finish(keys[0], call.Run, StoredAnswer{Status: 201, Body: []byte("1234"), BodyComplete: true}, epoch)
	c.Finish(keys[1], call.Run, StoredAnswer{Status: 201, Body: []byte("567"), BodyComplete: true}, epoch)
	steps = append(steps, []struct {
		name string
		got  Action
		want Action
	}{
		{"answer stored", send(keys[0], 1, epoch), Action{Kind: Replay, Outcome: call.Run, Reason: call.Replayed, Answer: StoredAnswer{BodyComplete: true}}},
		{"all bodies too large", send(keys[1], 1, epoch), Action{Kind: Replay, Outcome: call.Run, Reason: call.Replayed}},
		{"another body", send(keys[0], 2, epoch), Action{Kind: Refuse, Outcome: call.NotRun, Reason: call.KeyReused}},
		{"expired", send(keys[0], 1, end), Action{Kind: Refuse, Outcome: call.Unknown, Reason: call.KeyExpired}},
	}...)
	for _, s := range steps {
		if s.got.Kind != s.want.Kind || s.got.Outcome != s.want.Outcome || s.got.Reason != s.want.Reason || s.got.Answer.BodyComplete != s.want.Answer.BodyComplete {
			t.Errorf("%s: got action %+v", s.name, s.got)
		}
	}
	c.Tick(end)
	if c.Len() != 0 {
		t.Errorf("got %d records after the window, want 0", c.Len())
	}
}
