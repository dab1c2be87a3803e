package ingress

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// Dialect translates between the heads of the protocol and the request path. It is
// safe for concurrent use.
type Dialect interface {
	// DecodeRequest reads what the head of a caller's request says. A value that
	// can't be read counts as missing.
	DecodeRequest(h *fasthttp.RequestHeader) Head
	// AppendRequest appends the header lines of a request to a backend server: those
	// of the caller, less what concerns one connection or is set here.
	AppendRequest(dst []byte, h *fasthttp.RequestHeader, out Outgoing) []byte
	// DecodeAnswer reads what the head of a backend server's answer says.
	DecodeAnswer(h *fasthttp.ResponseHeader) Answer
	// CopyAnswer copies the header lines of an answer that the caller gets.
	CopyAnswer(to, from *fasthttp.ResponseHeader)
	// SetRefusal names the request in an answer of the entry itself.
	SetRefusal(h *fasthttp.ResponseHeader, id string)
}

// Head is what the head of a caller's request says.
type Head struct {
	// ID names the request; each try of a caller has its own.
	ID string
	// Key is the API key.
	Key string
	// Deadline is the time that the caller waits, 0 if it doesn't say.
	Deadline time.Duration
	// Model is the model of a request to an engine service.
	Model string
	// PromptTokens and MaxTokens count the tokens of the prompt and the most of the
	// answer; LengthHint is the caller's estimate of the answer, 0 without one.
	PromptTokens int
	MaxTokens    int
	LengthHint   int
	// LastEvent is the id of the event behind which a stream is to go on.
	LastEvent string
}

// Outgoing is what the entry says in the head of a request to a backend server.
type Outgoing struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// Instance is the only backend server that may run the request.
	Instance api.HostID
	// Account is the client account, empty for a request without a key.
	Account api.AccountID
	// LastEvent replaces that of the caller; empty leaves it.
	LastEvent string
	// Urgency is 0 for the most urgent requests.
	Urgency int
	// BodyBytes is the length of the body, -1 for a request that has none.
	BodyBytes int
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Refused is set if the server states that it did not run the request.
	Refused bool
	// OtherInstance is set if another server has taken over the address.
	OtherInstance bool
	// Sealed is set if the server vouches for the answer.
	Sealed bool
	// Fault names the member that made a replica refuse, empty without one.
	Fault api.HostID
}
