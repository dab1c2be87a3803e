package backend

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Values of the length of a body, as fasthttp tells them.
const (
	lengthChunked = -1
	lengthToClose = -2
)

// maxChunkLine bounds the line before a chunk and each line of a trailer, in
// bytes.
const maxChunkLine = 4096

// bodyDecoder takes the framing off the body of an answer, piece by piece. It
// keeps no bytes: what it does not consume has to be offered again with more
// behind it. The zero value decodes an empty body.
type bodyDecoder struct {
	chunked bool
	toClose bool
	// left is the number of bytes until the end of the body or chunk.
	left int64
	// inChunk is set while left counts the bytes of a chunk, afterChunk until the
	// line end behind one is read, trailer behind the last one.
	inChunk, afterChunk, trailer bool
	done                         bool
}

func newBodyDecoder(length int) bodyDecoder {
	switch {
	case length == lengthChunked:
		return bodyDecoder{chunked: true}
	case length < 0:
		return bodyDecoder{toClose: true}
	}
	return bodyDecoder{left: int64(length), done: length == 0}
}

// decode returns the next bytes of the body, a part of src, and how much of src it
// consumed. Nothing consumed and no error ask for more input.
func (d *bodyDecoder) decode(src []byte) (body []byte, consumed int, err error) {
	switch {
	case d.done || len(src) == 0:
		return nil, 0, nil
	case d.toClose:
		return src, len(src), nil
	case d.chunked:
		return d.decodeChunked(src)
	}
	n := int(min(d.left, int64(len(src))))
	d.left -= int64(n)
	d.done = d.left == 0
	return src[:n], n, nil
}

func (d *bodyDecoder) decodeChunked(src []byte) (body []byte, consumed int, err error) {
	for !d.done {
		if d.inChunk {
			n := int(min(d.left, int64(len(src)-consumed)))
			body = src[consumed : consumed+n]
			d.left -= int64(n)
			if d.left == 0 {
				d.inChunk, d.afterChunk = false, true
			}
			return body, consumed + n, nil
		}
		line, size, err := nextLine(src[consumed:])
		if err != nil || size == 0 {
			return nil, consumed, err
		}
		consumed += size
		if err := d.takeLine(line); err != nil {
			return nil, consumed, err
		}
		if consumed == len(src) {
			break
		}
	}
	return nil, consumed, nil
}

// takeLine takes a line of the framing itself.
func (d *bodyDecoder) takeLine(line []byte) error {
	switch {
	case d.afterChunk:
		d.afterChunk = false
		if len(line) > 0 {
			return errors.Wrap(ErrMalformed, "bytes behind a chunk")
		}
	case d.trailer:
		d.done = len(line) == 0
	default:
		text, _, _ := bytes.Cut(line, []byte{';'})
		size, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 16, 63)
		if err != nil || size < 0 {
			return errors.Wrapf(ErrMalformed, "chunk size %q", text)
		}
		d.left, d.inChunk, d.trailer = size, size > 0, size == 0
	}
	return nil
}

// nextLine returns the first line of src without its end, and its size with it,
// which is 0 while the line is not whole.
func nextLine(src []byte) (line []byte, size int, err error) {
	end := bytes.IndexByte(src, '\n')
	if end < 0 {
		if len(src) > maxChunkLine {
			return nil, 0, errors.Wrapf(ErrMalformed, "chunk line over %d bytes", maxChunkLine)
		}
		return nil, 0, nil
	}
	return bytes.TrimSuffix(src[:end], []byte{'\r'}), end + 1, nil
}

// atEnd tells what the end of the connection means at this point of the body: nil
// if the body is whole.
func (d *bodyDecoder) atEnd() error {
	if d.done || d.toClose {
		return nil
	}
	return io.ErrUnexpectedEOF
}
