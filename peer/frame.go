package peer

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
)

// nextFrame finds the first frame in data: JSON after a varint length. It returns the
// offsets at which the JSON starts and ends; ok is false if the frame is incomplete.
func nextFrame(data []byte, maxBytes int) (start, end int, ok bool, err error) {
	length, n := binary.Uvarint(data)
	if n == 0 {
		return 0, 0, false, nil
	}
	if n < 0 || length == 0 || length > uint64(maxBytes) {
		return 0, 0, false, fmt.Errorf("%w: length %d, limit %d", ErrFrame, length, maxBytes)
	}
	end = n + int(length)
	return n, end, len(data) >= end, nil
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
