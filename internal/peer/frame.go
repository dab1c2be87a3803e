package peer

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// frameHeader is the size of the length prefix, in bytes.
const frameHeader = 4

var (
	errFrameSize  = errors.New("frame exceeds the size limit")
	errFrameEmpty = errors.New("empty frame")
)

// appendFrame appends the length prefix and the payload to dst.
func appendFrame(dst, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	return append(dst, payload...)
}

// frameSize decodes a length prefix, which must be between 1 and limit bytes.
func frameSize(header []byte, limit int) (int, error) {
	size := binary.BigEndian.Uint32(header)
	if size == 0 {
		return 0, errFrameEmpty
	}
	if uint64(size) > uint64(limit) {
		return 0, errors.Wrapf(errFrameSize, "%d bytes, limit %d", size, limit)
	}
	return int(size), nil
}

// frameSource is the subset of gnet.Conn from which frames are read.
type frameSource interface {
	Peek(n int) ([]byte, error)
	Discard(n int) (int, error)
	InboundBuffered() int
}

// nextFrame returns a copy of the next payload, or nil if it is not complete yet.
func nextFrame(src frameSource, limit int) ([]byte, error) {
	if src.InboundBuffered() < frameHeader {
		return nil, nil
	}
	header, err := src.Peek(frameHeader)
	if err != nil {
		return nil, errors.Wrap(err, "read frame header")
	}
	size, err := frameSize(header, limit)
	if err != nil {
		return nil, err
	}
	if src.InboundBuffered() < frameHeader+size {
		return nil, nil
	}
	if _, err = src.Discard(frameHeader); err != nil {
		return nil, errors.Wrap(err, "skip frame header")
	}
	body, err := src.Peek(size)
	if err != nil {
		return nil, errors.Wrap(err, "read frame")
	}
	payload := append(make([]byte, 0, size), body...)
	_, err = src.Discard(size)
	return payload, errors.Wrap(err, "skip frame")
}
