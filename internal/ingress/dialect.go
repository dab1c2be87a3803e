package ingress

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// Dialect translates between the headers of the protocol and the request path. It is
// safe for concurrent use.
type Dialect interface {
	// DecodeRequest decodes the head of a caller's request. An invalid value counts as
	// missing.
	DecodeRequest(h *fasthttp.RequestHeader) Head
	// AppendRequest appends the header lines of a request to a backend server: those of
	// the caller, except hop-by-hop headers and those that are set here.
	AppendRequest(dst []byte, h *fasthttp.RequestHeader, out Outgoing) []byte
	// DecodeAnswer decodes the head of a backend server's answer.
	DecodeAnswer(h *fasthttp.ResponseHeader) Answer
	// CopyAnswer copies the header lines of an answer that are forwarded to the caller.
	CopyAnswer(to, from *fasthttp.ResponseHeader)
	// SetRefusal sets the request ID in an answer of the entry itself.
	SetRefusal(h *fasthttp.ResponseHeader, id string)
}

// Head is the decoded head of a caller's request.
type Head struct {
	// ID identifies the request; each retry of a caller has its own.
	ID string
	// Key is the API key.
	Key string
	// Deadline is the time that the caller waits, 0 if not given.
	Deadline time.Duration
	// Model is the model of a request to an engine service.
	Model string
	// PromptTokens is the length of the prompt, MaxTokens the limit of the answer, and
	// LengthHint the caller's estimate of the answer, 0 without one; all in tokens.
	PromptTokens int
	MaxTokens    int
	LengthHint   int
	// PromptParts are the IDs of the parts of the prompt that other requests may share, in
	// their order.
	PromptParts []string
	// LastEvent is the id of the event after which a stream is to resume.
	LastEvent string
}

// Outgoing holds the values in the head of a request to a backend server.
type Outgoing struct {
	// Deadline is the remaining time.
	Deadline time.Duration
	// Instance is the only backend server that may run the request, empty for a request
	// that another entry places.
	Instance api.HostID
	// Account is the client account, empty for a request without a key.
	Account api.AccountID
	// LastEvent replaces the caller's LastEvent unless it is empty.
	LastEvent string
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// BodyBytes is the length of the body, -1 for a request that has none.
	BodyBytes int
}

// Answer is the decoded head of a backend server's answer.
type Answer struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Refused is set if the server states that it did not run the request.
	Refused bool
	// OtherInstance is set if another server has taken over the address.
	OtherInstance bool
	// Sealed is set if the answer carries the server's seal.
	Sealed bool
	// Limit is the rate that the server takes from all entries together, in requests a
	// second. HasLimit is set if it names one; LimitUnreadable if it can't be read.
	Limit           float64
	HasLimit        bool
	LimitUnreadable bool
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Pause is the time for which the server wants no requests of this entry, 0 if it names
	// none; PauseUnreadable is set if it can't be read.
	Pause           time.Duration
	PauseUnreadable bool
	// Fault names the member that made a replica refuse, empty without one.
	Fault api.HostID
}
