package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
)

const (
	// copyTimeout limits one query to a neighbour. A copy of one megabyte takes
	// about a second on the slowest links.
	copyTimeout = 2 * time.Second
	// maxCopyBytes limits the size of a copy: the largest document and a list of
	// several thousand upstreams.
	maxCopyBytes = 8 << 20
	// seedEvery makes every fourth query go to a seed even if other daemons are
	// known, since all of those may have gone.
	seedEvery = 4
)

// lending is the state of the queries to neighbours for their copy of the store
// while the store does not answer. One neighbour is queried at a time.
type lending struct {
	inProgress atomic.Bool
	// aheadPeer is the address of the last daemon that reported a later revision.
	aheadPeer atomic.Pointer[string]
	tries     int
	// failureLogged is true if the last query failed, so that only the first
	// failure of a series is logged.
	failureLogged bool
}

// queryNeighbour queries a neighbour for its copy if a query is due.
func (d *Daemon) queryNeighbour(now time.Time) {
	if d.lending.inProgress.Load() {
		return
	}
	held, due := d.storeCopy.queryDue(now)
	if !due {
		return
	}
	d.lending.inProgress.Store(true)
	d.startTask(func() {
		defer d.lending.inProgress.Store(false)
		d.borrow(held)
	})
}

// borrow requests a copy newer than a version from one neighbour and applies
// it.
func (d *Daemon) borrow(newerThan follow.Version) {
	address := d.lender()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, copyTimeout)
	defer cancel()
	c, err := d.requestCopy(ctx, address, newerThan)
	if err != nil {
		if !d.lending.failureLogged && d.ctx.Err() == nil {
			d.logFor("store").Warn("Could not borrow a copy of the store from a neighbour.", "from", address, "revision", newerThan.Revision, "error", err)
		}
		d.lending.failureLogged = true
		return
	}
	d.lending.failureLogged = false
	c.Received = d.heartbeat.ReceivedBy(time.Now())
	if before, applied := d.storeCopy.applyCopy(c, address); applied {
		d.metrics.copiesBorrowed.Add(1)
		d.logFor("store").Info("Took over a copy of the store from a neighbour.", "from", address, "revision", c.Revision, "era", c.Era,
			"revisionBefore", before.Revision, "ageMs", c.Age.Milliseconds(), "certain", c.Certain, "keys", len(c.Items))
	}
}

// lender returns the address of a daemon to query, or "" if none is known. A
// daemon that has reported a later revision is preferred.
func (d *Daemon) lender() string {
	if address := d.lending.aheadPeer.Swap(nil); address != nil {
		return *address
	}
	try := d.lending.tries
	d.lending.tries++
	d.mu.Lock()
	instance, known := d.node.CopyLender(try)
	d.mu.Unlock()
	seeds := d.settings.seeds()
	if len(seeds) > 0 && (!known || try%seedEvery == seedEvery-1) {
		return seeds[rand.IntN(len(seeds))]
	}
	return instance.Peer
}

// otherDaemons returns how many other daemons are known.
func (d *Daemon) otherDaemons() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.PeerCount()
}

// requestCopy requests the copy of another daemon. A copy that is not newer has no
// items.
func (d *Daemon) requestCopy(ctx context.Context, address string, newerThan follow.Version) (follow.Copy, error) {
	body, _, err := d.getCopy(ctx, address, newerThan, "")
	if err != nil {
		return follow.Copy{}, fmt.Errorf("request a copy of the store: %w", err)
	}
	return follow.DecodeCopy(body)
}

// getCopy sends a request for the copy of another daemon, with the value of a poll header
// for its changes. It returns the body of the response and the state in its header.
func (d *Daemon) getCopy(ctx context.Context, address string, newerThan follow.Version, poll string) (body, state []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetRequestURI("/")
	req.Header.SetHost("pomelodoor")
	req.Header.Set(call.HeaderCopy, strconv.FormatUint(newerThan.Revision, 10))
	req.Header.Set(call.HeaderEra, strconv.FormatUint(newerThan.Era, 10))
	if poll != "" {
		req.Header.Set(call.HeaderPoll, poll)
	}
	if err := d.peers.get(address).Do(ctx, req, resp); err != nil {
		return nil, nil, err
	}
	read, err := exchange.ReadBody(resp, maxCopyBytes)
	if err != nil {
		return nil, nil, err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, nil, fmt.Errorf("%w: status %d", follow.ErrCopy, status)
	}
	body = slices.Clone(read)
	if string(resp.Header.ContentEncoding()) == "gzip" {
		if body, err = unzip(read, maxChangesBytes); err != nil {
			return nil, nil, err
		}
	}
	return body, slices.Clone(resp.Header.Peek(call.HeaderCopy)), nil
}

// requestedVersion is the version that another daemon holds. One of the previous build names
// no era, and its revision counts as one of this daemon's era.
type requestedVersion struct {
	version follow.Version
	hasEra  bool
}

// in returns the version for a daemon whose copy is of an era.
func (r requestedVersion) in(era uint64) follow.Version {
	if !r.hasEra {
		r.version.Era = era
	}
	return r.version
}

var errVersionHeader = errors.New("the headers hold no version of the store")

func parseRequestedVersion(revision, era []byte) (r requestedVersion, err error) {
	if r.version.Revision, err = strconv.ParseUint(string(revision), 10, 64); err != nil {
		return r, fmt.Errorf("%w: %w", errVersionHeader, err)
	}
	if r.hasEra = len(era) > 0; !r.hasEra {
		return r, nil
	}
	if r.version.Era, err = strconv.ParseUint(string(era), 10, 64); err != nil {
		return r, fmt.Errorf("%w: %w", errVersionHeader, err)
	}
	return r, nil
}

// serveCopy sends this daemon's copy of the store to another daemon, or status
// 503 if it has none.
func (d *Daemon) serveCopy(ctx *fasthttp.RequestCtx, revision []byte) {
	newerThan, err := parseRequestedVersion(revision, ctx.Request.Header.Peek(call.HeaderEra))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if poll := ctx.Request.Header.Peek(call.HeaderPoll); poll != nil {
		d.servePoll(ctx, newerThan, string(poll))
		return
	}
	c := d.storeCopy.lend(newerThan)
	if c.Revision == 0 {
		ctx.Error("nothing is known of the store yet", fasthttp.StatusServiceUnavailable)
		return
	}
	text, err := follow.EncodeCopy(c)
	if err != nil {
		d.logFor("store").Error("Could not encode the copy of the store for a neighbour.", "revision", c.Revision, "error", err)
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if len(c.Items) > 0 {
		d.metrics.copiesLent.Add(1)
	}
	ctx.SetContentType("application/json")
	d.setCopy(ctx, text)
}
