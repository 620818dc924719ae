package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
)

const (
	// lendTime bounds one question to a neighbour. A copy of a megabyte takes
	// about a second on the slowest links.
	lendTime = 2 * time.Second
	// maxCopyBytes bounds the copy of a neighbour: the largest document and a
	// list of some thousand upstreams.
	maxCopyBytes = 8 << 20
	// seedEvery is how often a seed is asked though other daemons are known:
	// all of these may have gone.
	seedEvery = 4
)

// lending asks neighbours for their copy of the store while the store does not
// answer, one at a time.
type lending struct {
	under atomic.Bool
	// ahead is the last daemon that told of a later revision.
	ahead atomic.Pointer[string]
	tries int
	// silent is whether the log has been told that nobody lends.
	silent bool
}

// askNeighbours asks a neighbour if that is due.
func (d *Daemon) askNeighbours(now time.Time) {
	if d.lending.under.Load() {
		return
	}
	revision, due := d.held.ask(now)
	if !due {
		return
	}
	d.lending.under.Store(true)
	d.loop(func() {
		defer d.lending.under.Store(false)
		d.borrow(revision)
	})
}

// borrow asks one neighbour for a copy newer than a revision, and takes it in.
func (d *Daemon) borrow(than uint64) {
	address := d.lender()
	if address == "" {
		return
	}
	c, age, err := d.askForCopy(address, than)
	if err != nil {
		if !d.lending.silent && d.ctx.Err() == nil {
			d.part("store").Warn("A neighbour lends no copy of the store.", "from", address, "revision", than, "error", err)
		}
		d.lending.silent = true
		return
	}
	d.lending.silent = false
	if before, taken := d.held.lent(c, address, age); taken {
		d.metrics.borrowed.Add(1)
		d.part("store").Info("A neighbour's copy of the store is taken.", "from", address, "revision", c.Revision,
			"revisionBefore", before, "ageMs", age.Milliseconds(), "certain", c.Certain, "keys", len(c.Items))
	}
}

// lender returns the address of a daemon to ask, or "" if none is known. One that
// has told of a later revision comes first.
func (d *Daemon) lender() string {
	if ahead := d.lending.ahead.Swap(nil); ahead != nil {
		return *ahead
	}
	try := d.lending.tries
	d.lending.tries++
	d.mu.Lock()
	in, known := d.node.Lender(try)
	d.mu.Unlock()
	seeds := d.settings.seeds()
	if len(seeds) > 0 && (!known || try%seedEvery == seedEvery-1) {
		return seeds[rand.IntN(len(seeds))]
	}
	return in.Peer
}

// others returns how many other daemons are known.
func (d *Daemon) others() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Others()
}

// askForCopy asks a daemon for its copy. One that is no newer comes without items.
func (d *Daemon) askForCopy(address string, than uint64) (follow.Copy, time.Duration, error) {
	ctx, cancel := context.WithTimeout(d.ctx, lendTime)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI("/")
	req.Header.SetHost("pomelodoor")
	req.Header.Set(call.HeaderCopy, strconv.FormatUint(than, 10))
	if err := d.peers.get(address).Do(ctx, req, resp); err != nil {
		return follow.Copy{}, 0, fmt.Errorf("ask for a copy: %w", err)
	}
	body, err := exchange.Whole(resp, maxCopyBytes)
	if err != nil {
		return follow.Copy{}, 0, fmt.Errorf("read a copy: %w", err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return follow.Copy{}, 0, fmt.Errorf("%w: status %d", follow.ErrCopy, status)
	}
	return follow.DecodeCopy(body)
}

// serveCopy lends the own copy to another daemon, if there is one.
func (d *Daemon) serveCopy(ctx *fasthttp.RequestCtx, known []byte) {
	than, err := strconv.ParseUint(string(known), 10, 64)
	if err != nil {
		ctx.Error(call.HeaderCopy+" holds no revision", fasthttp.StatusBadRequest)
		return
	}
	c, age := d.held.lend(than)
	if c.Revision == 0 {
		ctx.Error("nothing is known of the store yet", fasthttp.StatusServiceUnavailable)
		return
	}
	text, err := follow.EncodeCopy(c, age)
	if err != nil {
		d.part("store").Error("The copy of the store cannot be lent.", "revision", c.Revision, "error", err)
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if len(c.Items) > 0 {
		d.metrics.lent.Add(1)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
