package exchange

import "errors"

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrLost means that bytes left and no whole answer came back.
	ErrLost = errors.New("exchange: answer lost")
	// ErrBodySource means that the request's own body ended early or failed.
	ErrBodySource = errors.New("exchange: request body failed")
	// ErrBusy means that every connection allowed to the address is in use.
	ErrBusy = errors.New("exchange: no connection free")
	// ErrTooLong means that an answer is longer than its reader wants.
	ErrTooLong = errors.New("exchange: answer too long")
	// ErrClosed means that the pool has been closed.
	ErrClosed = errors.New("exchange: pool closed")
)
