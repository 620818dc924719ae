package standin

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Mix is what share of the load each kind of request has, by weight. Orders ask
// a daemon for their key first, OrdersWithOwnKey make one themselves.
type Mix struct {
	Lookups, Orders, OrdersWithOwnKey, OrdersWithoutKey, Uploads, Heads, Deletes int
	// UploadMin and UploadMax bound the size of uploads in bytes.
	UploadMin, UploadMax int
	// LookupAnswer is the number of filler bytes that a lookup asks for.
	LookupAnswer int
}

// orderBytes is the size of an order's body.
const orderBytes = 512

// DefaultMix is a day of the users' work: mostly lookups, some orders, a few
// large uploads.
func DefaultMix() Mix {
	return Mix{
		Lookups: 60, Orders: 15, OrdersWithoutKey: 10, Uploads: 3, Heads: 6, Deletes: 6,
		UploadMin: 256 << 10, UploadMax: 3 << 20, LookupAnswer: 4 << 10,
	}
}

// Lookups is a mix of lookups alone.
func Lookups() Mix { return Mix{Lookups: 1, LookupAnswer: 4 << 10} }

// draw returns the next request, named by its place in the caller's sequence.
func (m Mix) draw(rng *rand.Rand, prefix string, n int, now time.Time) Request {
	r := Request{Token: prefix + "-" + strconv.Itoa(n)}
	pick := rng.IntN(max(1, m.Lookups+m.Orders+m.OrdersWithOwnKey+m.OrdersWithoutKey+m.Uploads+m.Heads+m.Deletes))
	for _, kind := range []struct {
		weight int
		shape  func()
	}{
		{m.Lookups, func() { r.Method, r.Path, r.Answer = "GET", "/history/"+r.Token, m.LookupAnswer }},
		{m.Orders, func() { r.Method, r.Path, r.Body, r.AskKey = "POST", "/orders", orderBytes, true }},
		{m.OrdersWithOwnKey, func() {
			r.Method, r.Path, r.Body, r.Key = "POST", "/orders", orderBytes, newKey(now, rng.Uint64(), rng.Uint64())
		}},
		{m.OrdersWithoutKey, func() { r.Method, r.Path, r.Body = "POST", "/orders", orderBytes }},
		{m.Uploads, func() { r.Method, r.Path, r.Body = "PUT", "/images/"+r.Token, m.uploadSize(rng) }},
		{m.Heads, func() { r.Method, r.Path, r.Answer = "HEAD", "/history/"+r.Token, 512 }},
		{m.Deletes, func() { r.Method, r.Path = "DELETE", "/images/"+r.Token }},
	} {
		if pick < kind.weight {
			kind.shape()
			return r
		}
		pick -= kind.weight
	}
	r.Method, r.Path = "GET", "/history/"+r.Token
	return r
}

// uploadSize draws the size of one upload.
func (m Mix) uploadSize(rng *rand.Rand) int {
	return m.UploadMin + rng.IntN(max(1, m.UploadMax-m.UploadMin+1))
}
