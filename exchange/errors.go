package exchange

import "errors"

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("exchange: request not sent")
	// ErrResponseLost means that bytes of the request were sent and no complete
	// response arrived.
	ErrResponseLost = errors.New("exchange: response lost")
	// ErrInvalidHead means that the head of a response is malformed, or has an invalid
	// status. Such an error wraps ErrResponseLost, too.
	ErrInvalidHead = errors.New("exchange: invalid response head")
	// ErrInvalidStatus means that a response has a status that none may have: 101, or one
	// outside 100 to 599. Such an error wraps ErrInvalidHead, too.
	ErrInvalidStatus = errors.New("exchange: invalid status")
	// ErrBodySource means that the source of the request body ended early or failed.
	ErrBodySource = errors.New("exchange: request body failed")
	// ErrBusy means that MaxConns connections are in use.
	ErrBusy = errors.New("exchange: all connections in use")
	// ErrTooLong means that a response body exceeds the reader's limit.
	ErrTooLong = errors.New("exchange: response body too long")
	// ErrClosed means that the pool has been closed.
	ErrClosed = errors.New("exchange: pool closed")
)
