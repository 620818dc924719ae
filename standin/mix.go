package standin

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Mix holds the weights of the request types. The caller fetches the keys of
// Orders from a daemon and generates those of OrdersWithOwnKey itself.
type Mix struct {
	Lookups, Orders, OrdersWithOwnKey, OrdersWithoutKey, Uploads, Heads, Deletes int
	// UploadMin and UploadMax limit the size of uploads in bytes.
	UploadMin, UploadMax int
	// LookupResponseBytes is the number of filler bytes in the response to a lookup.
	LookupResponseBytes int
}

// orderBytes is the size of the body of an order.
const orderBytes = 512

// DefaultMix returns a mix that resembles the users' daily load: mostly lookups,
// some orders, a few large uploads.
func DefaultMix() Mix {
	return Mix{
		Lookups: 60, Orders: 15, OrdersWithoutKey: 10, Uploads: 3, Heads: 6, Deletes: 6,
		UploadMin: 256 << 10, UploadMax: 3 << 20, LookupResponseBytes: 4 << 10,
	}
}

// Lookups returns a mix of lookups only.
func Lookups() Mix { return Mix{Lookups: 1, LookupResponseBytes: 4 << 10} }

// draw returns a random request for position n of the caller's sequence. Its
// token consists of prefix and n.
func (m Mix) draw(rng *rand.Rand, prefix string, n int, now time.Time) Request {
	r := Request{Token: prefix + "-" + strconv.Itoa(n)}
	pick := rng.IntN(max(1, m.Lookups+m.Orders+m.OrdersWithOwnKey+m.OrdersWithoutKey+m.Uploads+m.Heads+m.Deletes))
	for _, kind := range []struct {
		weight    int
		setFields func()
	}{
		{m.Lookups, func() { r.Method, r.Path, r.ResponseBytes = "GET", "/history/"+r.Token, m.LookupResponseBytes }},
		{m.Orders, func() { r.Method, r.Path, r.BodyBytes, r.FetchKey = "POST", "/orders", orderBytes, true }},
		{m.OrdersWithOwnKey, func() {
			r.Method, r.Path, r.BodyBytes, r.Key = "POST", "/orders", orderBytes, newKey(now, rng.Uint64(), rng.Uint64())
		}},
		{m.OrdersWithoutKey, func() { r.Method, r.Path, r.BodyBytes = "POST", "/orders", orderBytes }},
		{m.Uploads, func() { r.Method, r.Path, r.BodyBytes = "PUT", "/images/"+r.Token, m.uploadSize(rng) }},
		{m.Heads, func() { r.Method, r.Path, r.ResponseBytes = "HEAD", "/history/"+r.Token, 512 }},
		{m.Deletes, func() { r.Method, r.Path = "DELETE", "/images/"+r.Token }},
	} {
		if pick < kind.weight {
			kind.setFields()
			return r
		}
		pick -= kind.weight
	}
	r.Method, r.Path = "GET", "/history/"+r.Token
	return r
}

// uploadSize returns a random upload size in bytes.
func (m Mix) uploadSize(rng *rand.Rand) int {
	return m.UploadMin + rng.IntN(max(1, m.UploadMax-m.UploadMin+1))
}
