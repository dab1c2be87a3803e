package backend

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Values that fasthttp reports for a body without a known length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

const (
	// maxChunkLine limits the line before a chunk and each line of a trailer, in bytes.
	maxChunkLine = 4096
	// maxTrailer limits the lines after the last chunk, in bytes.
	maxTrailer = maxHeaderBytes
)

// bodyDecoder removes the framing of a response body incrementally. It buffers
// nothing: bytes that it does not consume must be passed again, followed by more. The
// zero value decodes an empty body.
type bodyDecoder struct {
	chunked    bool
	untilClose bool
	// remaining is the number of bytes until the end of the body or chunk.
	remaining int64
	// inChunk is set while remaining counts the bytes of a chunk, afterChunk until
	// the line end after it is read, trailer after the last chunk.
	inChunk, afterChunk, trailer bool
	// trailerBytes is the size of the trailer so far.
	trailerBytes int
	done         bool
}

// newResponseDecoder returns the decoder for the body that follows a header. headOnly is set for a
// request whose response has none.
func newResponseDecoder(h *fasthttp.ResponseHeader, headOnly bool) bodyDecoder {
	if status := h.StatusCode(); headOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return bodyDecoder{done: true}
	}
	return newBodyDecoder(h.ContentLength())
}

func newBodyDecoder(length int) bodyDecoder {
	switch {
	case length == lengthChunked:
		return bodyDecoder{chunked: true}
	case length < 0:
		return bodyDecoder{untilClose: true}
	}
	return bodyDecoder{remaining: int64(length), done: length == 0}
}

// decode returns the next bytes of the body, a part of src, and how much of src it
// consumed. If that is 0 without an error, more input is needed.
func (d *bodyDecoder) decode(src []byte) (body []byte, consumed int, err error) {
	switch {
	case d.done || len(src) == 0:
		return nil, 0, nil
	case d.untilClose:
		return src, len(src), nil
	case d.chunked:
		return d.decodeChunked(src)
	}
	n := int(min(d.remaining, int64(len(src))))
	d.remaining -= int64(n)
	d.done = d.remaining == 0
	return src[:n], n, nil
}

func (d *bodyDecoder) decodeChunked(src []byte) (body []byte, consumed int, err error) {
	for !d.done {
		if d.inChunk {
			n := int(min(d.remaining, int64(len(src)-consumed)))
			body = src[consumed : consumed+n]
			d.remaining -= int64(n)
			if d.remaining == 0 {
				d.inChunk, d.afterChunk = false, true
			}
			return body, consumed + n, nil
		}
		line, size, err := nextLine(src[consumed:])
		if err != nil || size == 0 {
			return nil, consumed, err
		}
		consumed += size
		if err := d.decodeFramingLine(line); err != nil {
			return nil, consumed, err
		}
		if consumed == len(src) {
			break
		}
	}
	return nil, consumed, nil
}

// decodeFramingLine decodes a chunk size, the end of a chunk, or a trailer line.
func (d *bodyDecoder) decodeFramingLine(line []byte) error {
	switch {
	case d.afterChunk:
		d.afterChunk = false
		if len(line) > 0 {
			return errors.Wrap(ErrMalformed, "unexpected bytes after a chunk")
		}
	case d.trailer:
		d.done = len(line) == 0
		if d.trailerBytes += len(line); d.trailerBytes > maxTrailer {
			return errors.Wrapf(ErrMalformed, "trailer over %d bytes", maxTrailer)
		}
		if !d.done {
			return checkField(line)
		}
	default:
		size, err := parseChunkSize(line)
		if err != nil {
			return err
		}
		d.remaining, d.inChunk, d.trailer = size, size > 0, size == 0
	}
	return nil
}

// parseChunkSize returns the size in the line before a chunk (RFC 9112, section 7.1). Some servers
// pad it with blanks at its end.
func parseChunkSize(line []byte) (int64, error) {
	text, extension, _ := bytes.Cut(line, []byte{';'})
	// ParseUint takes no sign.
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 63)
	if err != nil {
		return 0, errors.Wrapf(ErrMalformed, "invalid chunk size %.*q", maxQuoted, text)
	}
	if !httpguts.ValidHeaderFieldValue(string(extension)) {
		return 0, errors.Wrapf(ErrMalformed, "invalid chunk extension %.*q", maxQuoted, extension)
	}
	return int64(size), nil
}

// nextLine returns the first line of src without its end, and its size including
// the end, which is 0 while the line is incomplete.
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

// errorAtEOF returns the error for a connection that ends at this point of the body:
// nil if the body is complete.
func (d *bodyDecoder) errorAtEOF() error {
	if d.done || d.untilClose {
		return nil
	}
	return io.ErrUnexpectedEOF
}

// bodyReader reads the body of a response behind its header.
type bodyReader struct {
	src     *bufio.Reader
	decoder bodyDecoder
	// pending is the number of buffered bytes that next has handed out.
	pending int
}

// next returns the next bytes of the body, valid until the next call, or io.EOF at its end. If none
// are buffered it returns how many bytes have to be buffered before another try, else 0.
func (b *bodyReader) next() (part []byte, need int, err error) {
	b.discardPending()
	for {
		if b.decoder.done {
			return nil, 0, io.EOF
		}
		buffered, _ := b.src.Peek(b.src.Buffered())
		part, consumed, err := b.decoder.decode(buffered)
		if err != nil {
			return nil, 0, err
		}
		if len(part) > 0 {
			b.pending = consumed
			return part, 0, nil
		}
		_, _ = b.src.Discard(consumed)
		if !b.decoder.done && (consumed == 0 || b.src.Buffered() == 0) {
			return nil, b.src.Buffered() + 1, nil
		}
	}
}

func (b *bodyReader) discardPending() {
	_, _ = b.src.Discard(b.pending)
	b.pending = 0
}

// blockingBody is a body that is read with the read deadline of its connection.
type blockingBody struct {
	bodyReader
	rest []byte
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection ends within the body.
func (b *blockingBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		part, need, err := b.next()
		if err == nil && need > 0 {
			err = b.await(need)
		}
		if err != nil {
			return 0, err
		}
		b.rest = part
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// await waits until n bytes are buffered.
func (b *blockingBody) await(n int) error {
	_, err := b.src.Peek(n)
	if end := b.decoder.errorAtEOF(); errors.Is(err, io.EOF) && end != nil {
		return end
	}
	return err
}
