package backend

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	// statusLinePrefix is the size of a status line before its reason, in bytes.
	statusLinePrefix = len("HTTP/1.1 200")
	// A status outside of 100 to 599 is invalid (RFC 9110, section 15).
	minStatusClass, maxStatusClass = '1', '5'
)

// maxQuoted limits what an error quotes of a response, in bytes.
const maxQuoted = 80

// versionWithChunks is the only version of HTTP/1 that has Transfer-Encoding.
const versionWithChunks = "HTTP/1.1"

var responsePrefix = []byte("HTTP/1.")

// headerScanner finds the end of a response header and checks its lines on the way. The HTTP
// library accepts more than RFC 9112 allows, and with bare line feeds another end. The zero value
// is ready for one header.
type headerScanner struct {
	// size is the size of the lines that were checked, in bytes.
	size int
	// mayHaveChunks is set for a version that has Transfer-Encoding.
	mayHaveChunks bool
}

// scan checks the lines of b that are complete. b begins with the header, and has grown since the
// last call. The result is the size of the header with its empty line, or 0 while that is missing.
func (s *headerScanner) scan(b []byte) (int, error) {
	if n := min(len(b), len(responsePrefix)); !bytes.Equal(b[:n], responsePrefix[:n]) {
		return 0, errors.Wrapf(ErrMalformed, "response begins with %q", b[:n])
	}
	for {
		line, _, complete := bytes.Cut(b[s.size:], []byte{'\n'})
		if !complete {
			return 0, nil
		}
		line, complete = bytes.CutSuffix(line, []byte{'\r'})
		if !complete {
			return 0, errors.Wrapf(ErrMalformed, "header line without CR %.*q", maxQuoted, line)
		}
		isFirst := s.size == 0
		s.size += len(line) + len("\r\n")
		var err error
		switch {
		case isFirst:
			err = checkStatusLine(line)
			s.mayHaveChunks = bytes.HasPrefix(line, []byte(versionWithChunks))
		case len(line) == 0:
			return s.size, nil
		default:
			err = s.checkHeaderField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// checkStatusLine rejects a first line that is no status line of HTTP/1 (RFC 9112, section 4).
// The space before an empty reason may be missing.
func checkStatusLine(line []byte) error {
	if len(line) < statusLinePrefix || !bytes.HasPrefix(line, responsePrefix) ||
		!isDigit(line[7]) || line[8] != ' ' || !isDigit(line[10]) || !isDigit(line[11]) ||
		len(line) > statusLinePrefix && line[statusLinePrefix] != ' ' {
		return errors.Wrapf(ErrMalformed, "invalid status line %.*q", maxQuoted, line)
	}
	if class := line[9]; class < minStatusClass || class > maxStatusClass {
		return errors.Wrapf(ErrMalformed, "status %s is not between 100 and 599", line[9:statusLinePrefix])
	}
	if !httpguts.ValidHeaderFieldValue(string(line[statusLinePrefix:])) {
		return errors.Wrapf(ErrMalformed, "invalid reason in the status line %.*q", maxQuoted, line)
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// checkHeaderField is checkField for a header. The library ignores a Transfer-Encoding of another
// version, whose framing would then be taken for the body (RFC 9112, section 6.1).
func (s *headerScanner) checkHeaderField(line []byte) error {
	if err := checkField(line); err != nil {
		return err
	}
	name, _, _ := bytes.Cut(line, []byte{':'})
	if !s.mayHaveChunks && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
		return errors.Wrapf(ErrMalformed, "%.*q in another version than %s", maxQuoted, line, versionWithChunks)
	}
	return nil
}

// checkField rejects a line that is no field of a header or trailer (RFC 9110, section 5): blanks
// around the name, a folded value or control bytes.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Wrapf(ErrMalformed, "invalid name in the field %.*q", maxQuoted, line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return errors.Wrapf(ErrMalformed, "invalid value in the field %.*q", maxQuoted, line)
	}
	return nil
}

const (
	// maxSkippedBytes limits what is skipped before the response of a call, in bytes.
	maxSkippedBytes = 1 << 20
	// maxSkippedResponses limits the interim and late responses before it: each costs the
	// time to parse a header, and a sound server sends few.
	maxSkippedResponses = 32
)

// headerReader reads the headers of the responses to one call, up to that of its own response.
type headerReader struct {
	src     *bufio.Reader
	scanner headerScanner
	// skippedBytes and skippedResponses count what was read before the response of the call.
	skippedBytes     int
	skippedResponses int
}

// next reads the next header that is not interim into h, once it is buffered as a whole. Until then
// it returns how many bytes have to be buffered before another try, else 0.
func (r *headerReader) next(h *fasthttp.ResponseHeader) (need int, err error) {
	for {
		buffered, _ := r.src.Peek(r.src.Buffered())
		if n := len(buffered) - len(bytes.TrimLeft(buffered, "\r\n")); n > 0 {
			_, _ = r.src.Discard(n)
			buffered = buffered[n:]
			if err := r.skip(n); err != nil {
				return 0, err
			}
		}
		size, err := r.scanner.scan(buffered)
		switch {
		case err != nil:
			return 0, err
		case size == 0 && len(buffered) >= maxHeaderBytes:
			return 0, errors.Wrapf(ErrTooLarge, "header over %d bytes", maxHeaderBytes)
		case size == 0:
			return len(buffered) + 1, nil
		}
		if err := r.skip(size); err != nil {
			return 0, err
		}
		r.scanner = headerScanner{}
		h.Reset()
		if err := h.Read(r.src); err != nil {
			return 0, errors.Wrapf(ErrMalformed, "%v", err)
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return 0, nil
		}
		if err := r.skipResponse(); err != nil {
			return 0, err
		}
	}
}

// skip counts bytes that are not part of the body of the response.
func (r *headerReader) skip(n int) error {
	if r.skippedBytes += n; r.skippedBytes > maxSkippedBytes {
		return errors.Wrapf(ErrWrongResponse, "over %d bytes before the response", maxSkippedBytes)
	}
	return nil
}

// skipResponse counts an interim response, or one to another call.
func (r *headerReader) skipResponse() error {
	if r.skippedResponses++; r.skippedResponses > maxSkippedResponses {
		return errors.Wrapf(ErrWrongResponse, "over %d responses before the response", maxSkippedResponses)
	}
	return nil
}
