package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"pomelodoor.example/pomelodoor/follow"
)

const (
	// maxChangesBytes limits the changes sent to each daemon that polls. A reader
	// sends them to half of its availability zone at once, through its own link.
	maxChangesBytes = 16 << 10
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
	c, err := d.requestCopy(ctx, action.Reader, action.Revision, formatPoll(max(action.Timeout-pollMargin, 0), age))
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

// chooseReaders tells the follower which daemons read the store for this one.
func (d *Daemon) chooseReaders() {
	d.mu.Lock()
	instances, shared := d.node.StoreReaders()
	d.mu.Unlock()
	readers := make([]string, 0, len(instances))
	for _, r := range instances {
		readers = append(readers, r.Peer)
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
