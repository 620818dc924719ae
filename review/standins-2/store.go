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

// item is a key of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's store as PROTOCOL.md describes it, as far as daemons read it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
	silent  bool
}

// startStore serves a store on an address.
func startStore(listener net.Listener) *store {
	s := &store{items: map[string]item{}, changed: make(chan struct{}), rev: 10}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("range"), s.rangeItems)
	mux.HandleFunc("GET "+wire("one"), s.oneItem)
	mux.HandleFunc("GET "+wire("watch"), s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// put writes a key, and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(text), Rev: s.rev, Created: created}
	s.items[key] = it
	s.record(it)
	return time.Now()
}

// remove removes a key, if it is there, and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return time.Now()
	}
	s.rev++
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Tombstone: true})
	return time.Now()
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent begins or ends a time in which the store answers nothing. Calls that wait then, or
// come then, are never answered.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// hang keeps a call without an answer for as long as the caller waits, if the store is silent.
func (s *store) hang(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) oneItem(w http.ResponseWriter, r *http.Request) {
	s.hang(r)
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, it)
}

// pageItems is the number of items of one page.
const pageItems = 50

func (s *store) rangeItems(w http.ResponseWriter, r *http.Request) {
	s.hang(r)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": list, wire("more"): more, wire("asOf"): rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get(wire("wait")), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.hang(r)
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, wire("asOf"): rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
