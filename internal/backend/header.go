package backend

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

const (
	// statusLinePrefix is the size of a status line before its reason, in bytes.
	statusLinePrefix = len("HTTP/1.1 200")
	// A status outside of 100 to 599 is invalid (RFC 9110, section 15).
	minStatusClass, maxStatusClass = '1', '5'
)

// checkStatusLine rejects a first line, without its end, that is no status line of HTTP/1
// (RFC 9112, section 4). The space before an empty reason may be missing.
func checkStatusLine(line []byte) error {
	if len(line) < statusLinePrefix || !bytes.HasPrefix(line, responsePrefix) ||
		!isDigit(line[7]) || line[8] != ' ' || !isDigit(line[10]) || !isDigit(line[11]) ||
		len(line) > statusLinePrefix && line[statusLinePrefix] != ' ' {
		return errors.Wrapf(ErrMalformed, "status line %q", line)
	}
	if class := line[9]; class < minStatusClass || class > maxStatusClass {
		return errors.Wrapf(ErrMalformed, "status %s is not between 100 and 599", line[9:statusLinePrefix])
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
