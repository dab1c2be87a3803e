// Package backend contains the clients of the backend servers: calls to model
// engines and plain services, and the orders that engines accept.
package backend

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// ErrNotSent marks errors after which no byte of the request can have reached
// the backend server. Test with errors.Is.
var ErrNotSent = errors.New("request not sent")

// Request is one call to an engine or a plain service.
type Request struct {
	ID      api.RequestID
	Address string
	Method  string
	// Path holds the path and the query.
	Path        string
	ContentType string
	Body        []byte
	// Fencing is the generation of the group that the grant names; 0 for a
	// service.
	Fencing  api.Fencing
	Priority int
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// Offset is the number of tokens already delivered, for a resumed stream.
	Offset int
	// IdempotencyKey is forwarded to a service; empty when the caller sent none.
	IdempotencyKey string
	// BeforeWrite is called once a connection is ready and before the first byte
	// is written; an error ends the call as not sent. Nil allows the write.
	BeforeWrite func() error
}

// Response is the response to a Request. Exactly one of Body and Stream is used.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Stream      Stream
}

// Event is one server-sent event of a token stream.
type Event struct {
	// Offset is the number of tokens delivered including this event.
	Offset int
	Data   []byte
	// Done is set on the terminator.
	Done bool
}

// Stream yields the events of one response.
type Stream interface {
	// Next returns the next event. It returns io.EOF after the terminator and
	// io.ErrUnexpectedEOF when the stream ended without one.
	Next() (Event, error)
	// Close ends the stream and closes its connection unless the terminator
	// was read.
	Close() error
}

// Client calls engines and services. It is safe for concurrent use.
type Client interface {
	// Do sends the request on a connection that is used for nothing else until
	// the response is read. A response with another request id is an error.
	Do(ctx context.Context, r Request) (*Response, error)
	// Cancel asks an engine to stop a request.
	Cancel(ctx context.Context, address string, id api.RequestID) error
}

// OrderSender sends orders to engines.
type OrderSender interface {
	// Send delivers one order. An error leaves the outcome unknown.
	Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error)
}
