package peer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// frameLength returns the length of the JSON of a frame, which precedes it as a varint; ok is
// false if the varint is incomplete.
func frameLength(data []byte, maxBytes int) (length int, ok bool, err error) {
	n, read := binary.Uvarint(data)
	if read == 0 {
		return 0, false, nil
	}
	if read < 0 || n == 0 || n > uint64(maxBytes) {
		return 0, false, fmt.Errorf("%w: length %d, limit %d", ErrFrame, n, maxBytes)
	}
	return int(n), true, nil
}

// appendFrame returns v encoded as one frame.
func appendFrame(v any, maxBytes int) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrFrame, len(text), maxBytes)
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(text)+binary.MaxVarintLen32), uint64(len(text)))
	return append(frame, text...), nil
}
