package caller

import (
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// checkingTransport refuses responses that net/http accepts beyond RFC 9110 and 9112. Each response
// of an entry is HTTP/1.1 and has a length or chunks: without them, a connection that breaks looks
// like the end of the body.
type checkingTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t checkingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// maxStatus is the largest valid status (RFC 9110, section 15).
const maxStatus = 599

func checkResponse(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus {
		return errors.Newf("status %03d is not between 100 and 599", r.StatusCode)
	}
	if !r.ProtoAtLeast(1, 1) {
		return errors.Newf("response in %s, not HTTP/1.1", r.Proto)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("invalid name of the header field %q", name)
		}
	}
	if r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked") && r.Request.Method != http.MethodHead {
		return errors.New("response has neither a length nor chunks")
	}
	return nil
}
