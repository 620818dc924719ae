package ingress

import (
	"context"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/memory"
)

// Transfer is one request with its body and answer on a connection of a Guard. A nil Transfer
// is one without limits.
type Transfer struct {
	guard   *Guard
	tracked *guardedConn
	hold    *memory.Hold
}

// transferKey is the key of a request's Transfer in its context.
const transferKey contextKey = "transfer"

// transferOf returns the Transfer of a request, or nil.
func transferOf(ctx *fasthttp.RequestCtx) *Transfer {
	t, _ := ctx.UserValue(transferKey).(*Transfer)
	return t
}

// WithTransfer returns a context with the Transfer of a request, for MayBuffer.
func WithTransfer(parent context.Context, ctx *fasthttp.RequestCtx) context.Context {
	t := transferOf(ctx)
	if t == nil {
		return parent
	}
	return context.WithValue(parent, transferKey, t)
}

// MayBuffer reserves room for n bytes of an answer. Without room the answer can still be
// streamed. It is a function for exchange.Config.
func MayBuffer(ctx context.Context, n int) bool {
	t, _ := ctx.Value(transferKey).(*Transfer)
	return t.reserve(memory.Answers, n)
}

// ReserveAnswer reserves room for an answer of n bytes of the daemon's own, or returns false.
func ReserveAnswer(ctx *fasthttp.RequestCtx, n int) bool {
	return transferOf(ctx).reserve(memory.Answers, n)
}

// reserve reserves room, which is released once the answer has been written.
func (t *Transfer) reserve(kind memory.Kind, n int) bool {
	return t == nil || t.hold.Reserve(kind, int64(n))
}

// release gives back room earlier.
func (t *Transfer) release(kind memory.Kind, n int) {
	if t != nil {
		t.hold.Release(kind, int64(n))
	}
}

// readBody records that the body is being read.
func (t *Transfer) readBody() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.guard.conns.ReadBody(t.tracked.conn, t.guard.now())
}

// progress records that the body has made progress.
func (t *Transfer) progress() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.guard.conns.Progress(t.tracked.conn, t.guard.now())
}

// bodyRead records that the body is complete. It returns false if the connection is being
// ended, because it had held room for too long.
func (t *Transfer) bodyRead() bool {
	if t == nil {
		return true
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	return t.guard.conns.BodyRead(t.tracked.conn)
}

// ended reports whether the connection is being ended.
func (t *Transfer) ended() bool {
	if t == nil {
		return false
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	return t.tracked.conn.Ended()
}

// awaitUpstream records that the connection waits for more of the answer.
func (t *Transfer) awaitUpstream() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.guard.conns.AwaitUpstream(t.tracked.conn, t.guard.now())
}

// answer records that the answer is being written.
func (t *Transfer) answer() {
	if t == nil {
		return
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.guard.conns.Answer(t.tracked.conn, t.guard.now())
}

// keep keeps a response until it has been written. It returns false if there is no limit on
// that, and the response must be copied.
func (t *Transfer) keep(resp *fasthttp.Response) bool {
	if t == nil {
		return false
	}
	t.guard.mu.Lock()
	defer t.guard.mu.Unlock()
	t.tracked.relayed = resp
	return true
}
