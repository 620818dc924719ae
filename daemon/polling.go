package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/call"
	"pomelodoor.example/pomelodoor/follow"
)

const (
	// pollMargin is the part of a poll's time that is left for its answer.
	pollMargin = 50 * time.Millisecond
	// maxPollWait limits how long another daemon may make a poll wait.
	maxPollWait = 30 * time.Second
)

var (
	errPollHeader = errors.New("invalid poll header")
	// errUnconfirmed means that a reader's copy is not recent enough.
	errUnconfirmed = errors.New("the reader's copy was not confirmed recently")
)

// pollReader polls another daemon for the changes that it has read from the store.
func (d *Daemon) pollReader(ctx context.Context, action follow.Action) error {
	ctx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	age := d.storeCopy.age(time.Now())
	held := follow.Version{Era: action.Era, Revision: action.Revision}
	c, err := d.requestChanges(ctx, action.Reader, held, max(action.Timeout-pollMargin, 0), age)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool {
				f.PollFailed(action.Reader, now)
				return false
			})
		}
		return err
	}
	d.metrics.polls.Add(1)
	c.Received = d.heartbeat.ReceivedBy(time.Now())
	confirmed := false
	d.storeCopy.applyAnswer(func(f *follow.Follower, now time.Time) bool {
		before := f.ConfirmedAt()
		changed := f.Polled(c, action.Reader, now)
		confirmed = f.ConfirmedAt().After(before)
		return changed
	})
	if !confirmed {
		return errUnconfirmed
	}
	return nil
}

// requestChanges polls another daemon for its changes after a version.
func (d *Daemon) requestChanges(ctx context.Context, reader string, after follow.Version, wait, age time.Duration) (follow.Copy, error) {
	body, state, err := d.getCopy(ctx, reader, after, formatPoll(wait, age))
	if err != nil {
		return follow.Copy{}, fmt.Errorf("poll %s: %w", reader, err)
	}
	return follow.DecodeChanges(state, body)
}

// servePoll answers the poll of another daemon for the changes after a version.
func (d *Daemon) servePoll(ctx *fasthttp.RequestCtx, after requestedVersion, poll string) {
	wait, age, err := parsePoll(poll)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	c, changes := d.storeCopy.awaitChanges(after, time.Now().Add(-age), wait, d.stopping)
	c.Leaving = d.leaving.Load()
	state, err := follow.EncodeState(c)
	if err != nil || c.Revision == 0 {
		ctx.Error("nothing is known of the store yet", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.Response.Header.SetBytesV(call.HeaderCopy, state)
	if changes.zipped {
		ctx.Response.Header.SetContentEncoding("gzip")
	}
	ctx.SetContentType("application/json")
	d.setCopy(ctx, changes.body)
	d.closeConnIfLeaving(ctx)
}

// sourceStore is the source of a copy that this daemon reads itself.
const sourceStore = "store"

// logSource logs a change of the source that keeps the copy of the store current.
func (d *Daemon) logSource(action follow.Action) {
	source := sourceStore
	if action.Kind == follow.Poll {
		source = action.Reader
	}
	if d.storeCopy.setSource(source) {
		d.logFor("store").Info("The copy of the store has a new source.", "source", source,
			"revision", action.Revision, "ageMs", ms(d.storeCopy.age(time.Now())))
	}
}

// seedPhase is how long after its start a daemon without readers in its own zone polls
// the seeds: while a whole fleet starts, the list of upstreams grows for some seconds.
const seedPhase = 5 * time.Second

// chooseReaders tells the follower which daemons read the store for this one.
func (d *Daemon) chooseReaders(now time.Time) {
	d.mu.Lock()
	instances, shared := d.node.StoreReaders()
	d.mu.Unlock()
	readers := make([]string, 0, len(instances))
	for _, r := range instances {
		readers = append(readers, r.Peer)
	}
	if len(readers) == 0 && !shared && now.Sub(d.started) < seedPhase {
		readers, shared = d.settings.seedReaders(d.incarnation)
	}
	d.storeCopy.setReaders(readers, shared)
}

func formatPoll(wait, age time.Duration) string {
	return fmt.Sprintf("%d %d", wait.Milliseconds(), age.Milliseconds())
}

// parsePoll returns how long a poll waits and the age of its sender's copy.
func parsePoll(text string) (wait, age time.Duration, err error) {
	first, second, _ := strings.Cut(text, " ")
	for _, field := range []struct {
		text string
		to   *time.Duration
	}{{first, &wait}, {second, &age}} {
		ms, err := strconv.ParseUint(field.text, 10, 63)
		if err != nil {
			return 0, 0, fmt.Errorf("%w: %w", errPollHeader, err)
		}
		*field.to = time.Duration(min(ms, uint64(maxPollWait.Milliseconds()))) * time.Millisecond
	}
	return wait, age, nil
}
