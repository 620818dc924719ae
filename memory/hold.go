package memory

// Hold is what is reserved for one connection or one request. It is safe for concurrent use.
type Hold struct {
	account *Account
	source  Source
	// parts has at most one element of each kind. account.mu protects it.
	parts []part
	// variable is the sum of the bodies and the answers.
	variable int64
	// closed is set by ReleaseAll. account.mu protects it and variable.
	closed bool
}

type part struct {
	kind  Kind
	bytes int64
}

// Reserve reserves n bytes more. It returns false if there is no room for them, or after
// ReleaseAll, since nothing would release them then.
func (h *Hold) Reserve(kind Kind, n int64) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return false
	}
	if !a.fits(h.source, h.variable, n) {
		a.refused[kind]++
		return false
	}
	h.add(kind, n)
	return true
}

// Release gives back n bytes, at most as many as are reserved for the kind.
func (h *Hold) Release(kind Kind, n int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range h.parts {
		if p.kind == kind {
			h.add(kind, -min(n, p.bytes))
			return
		}
	}
}

// ReleaseAll gives back everything and closes the hold. It may be called more than once.
func (h *Hold) ReleaseAll() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range h.parts {
		a.add(h.source, p.kind, -p.bytes)
	}
	h.parts, h.variable, h.closed = nil, 0, true
}

// Bytes returns how many bytes are reserved.
func (h *Hold) Bytes() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	sum := int64(0)
	for _, p := range h.parts {
		sum += p.bytes
	}
	return sum
}

// add changes the reservation of a kind. The caller holds account.mu.
func (h *Hold) add(kind Kind, n int64) {
	h.account.add(h.source, kind, n)
	if kind == Bodies || kind == Answers {
		h.variable += n
	}
	for i := range h.parts {
		if h.parts[i].kind == kind {
			h.parts[i].bytes += n
			return
		}
	}
	h.parts = append(h.parts, part{kind: kind, bytes: n})
}
