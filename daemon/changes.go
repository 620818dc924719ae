package daemon

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"pomelodoor.example/pomelodoor/exchange"
	"pomelodoor.example/pomelodoor/follow"
)

const (
	// maxChangesBytes limits the changes that are passed on, and maxSentBytes what is
	// sent of them to each daemon: a reader sends to half of its availability zone
	// at once, through its own link.
	maxChangesBytes = 1 << 20
	maxSentBytes    = 48 << 10
	// minZipBytes is the length from which on changes are compressed.
	minZipBytes = 2 << 10
)

// encodedChanges are the changes between two revisions as they are sent to all that poll.
type encodedChanges struct {
	after, held follow.Version
	body        []byte
	zipped      bool
	// tooLong is true if they are not sent, and must be read from the store.
	tooLong bool
}

// encodeChanges encodes the changes after a version, or none if they are too long.
func encodeChanges(c follow.Copy, after follow.Version) encodedChanges {
	e := encodedChanges{after: after, held: follow.Version{Era: c.Era, Revision: c.Revision}, tooLong: c.ReadStore}
	body, err := follow.EncodeChanges(c.Items)
	if err == nil && len(body) >= minZipBytes {
		body, e.zipped = fasthttp.AppendGzipBytesLevel(nil, body, fasthttp.CompressBestSpeed), true
	}
	if err != nil || e.tooLong || len(body) > maxSentBytes {
		body, e.zipped, e.tooLong = []byte("[]"), false, true
	}
	e.body = body
	return e
}

// unzip returns a decompressed body of at most maxBytes and its overhead.
func unzip(body []byte, maxBytes int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decompress changes: %w", err)
	}
	// Keys and revisions add to the values that maxBytes counts.
	limit := int64(2 * maxBytes)
	text, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompress changes: %w", err)
	}
	if int64(len(text)) > limit {
		return nil, fmt.Errorf("decompress changes: %w", exchange.ErrTooLong)
	}
	return text, nil
}
