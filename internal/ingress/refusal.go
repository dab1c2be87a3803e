package ingress

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/errs"
)

// refusal is an answer of the entry itself.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	cause      error
	// closes is set if the rest of the request is not read.
	closes bool
}

// Error implements error.
func (r *refusal) Error() string {
	if r.cause != nil {
		return r.message + ": " + r.cause.Error()
	}
	return r.message
}

// Unwrap returns the cause.
func (r *refusal) Unwrap() error { return r.cause }

// unavailable returns a 503 for a request that no server has run. A retry hint in the
// cause sets Retry-After.
func unavailable(code, message string, cause error) *refusal {
	r := &refusal{status: fasthttp.StatusServiceUnavailable, code: code, message: message, cause: cause}
	r.retryAfter = defaultRetryAfter
	if hint := errs.RetryAfterOf(cause); hint > 0 {
		r.retryAfter = time.Duration(hint) * time.Millisecond
	}
	return r
}

// defaultRetryAfter is the retry hint if the cause has none.
const defaultRetryAfter = 500 * time.Millisecond

// errCallerLeft is the cause of a call whose caller closed its connection.
var errCallerLeft = errors.New("the caller closed its connection")

type refusalBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// refuse writes a refusal as the answer to a call.
func (s *Server) refuse(c *call, r *refusal) {
	c.status, c.outcome, c.reason = r.status, outcomeRefused, r.code
	if r.status == fasthttp.StatusBadGateway || r.status == fasthttp.StatusGatewayTimeout {
		c.outcome = outcomeFailed
	}
	response := &c.http.Response
	response.Reset()
	response.SetStatusCode(r.status)
	response.Header.SetContentType("application/json")
	s.cfg.Dialect.SetRefusal(&response.Header, c.head.ID)
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
		response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	}
	setForwardedRuns(c, 0)
	if c.forwardedBy != "" {
		response.Header.Set(headerForwardedCode, r.code)
	}
	response.SetBodyRaw(encodeRefusal(r.code, r.message))
	s.closeIfLeaving(c)
	if r.closes {
		c.http.SetConnectionClose()
	}
}

func encodeRefusal(code, message string) []byte {
	body, err := json.Marshal(refusalBody{Error: code, Message: message})
	if err != nil {
		body = []byte(`{"error":"internal"}`)
	}
	return body
}
