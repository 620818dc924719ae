package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keys under one revision
// counter, lists in pages, and watches that wait.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storeItem
	log     []storeItem
	changed chan struct{}
	server  *http.Server
	address string
}

type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	LeaseID   int    `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

const storePage = 500

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: 1, items: map[string]storeItem{}, changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, s.list)
	mux.HandleFunc("GET "+watchPath, s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(text), Rev: s.rev, Created: created}
	s.items[key] = it
	s.append(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.append(storeItem{Key: key, Rev: s.rev, Tombstone: true})
}

// append adds an event to the history and wakes the watches. The caller holds s.mu.
func (s *store) append(event storeItem) {
	s.log = append(s.log, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > storePage
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), storePage)] {
		items = append(items, s.items[key])
	}
	answer := map[string]any{"items": items, moreField: more, asOfField: s.rev}
	s.mu.Unlock()
	reply(w, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get(waitParameter))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.log {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, asOfField: rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, asOfField: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, answer any) {
	// The store answers after 4 ms.
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
