// Package peer carries JSON-RPC 2.0 calls between the processes of crocusway
// over gnet, on links that a shared secret authenticates.
//
// A Node accepts links and dials one link to each peer that it calls. Calls go
// from the dialer to the acceptor; responses may arrive in any order. A message is
// a frame: a big-endian length prefix of 4 bytes and a JSON-RPC payload. Before
// the handshake is complete, an acceptor reads only small frames and answers no
// call.
//
// The handshake authenticates both sides with HMAC-SHA256 over a role label, the
// protocol version and a nonce of each side. It does not encrypt the link.
//
// The message types are those of sourcegraph/jsonrpc2. Its Conn is not used: it
// reads a blocking stream in one goroutine per connection and bounds neither the
// calls in flight nor the bytes queued for sending. Its Request decoder builds a
// generic tree of the parameters, so requests are decoded into an envelope with
// raw parameters. Each link has its own table of call ids.
package peer

import (
	"context"
	"encoding/json"

	"github.com/crocusway/crocusway/internal/api"
)

// Caller sends calls to other processes. It is safe for concurrent use.
type Caller interface {
	// Call sends params to the method at the peer address "ip:port" and decodes
	// the response into result. Errors are *errs.Error with the peer set. Without
	// a deadline in ctx, a default timeout applies. errs.Unavailable means that
	// the call was not sent, errs.Timeout that its outcome is unknown.
	Call(ctx context.Context, address string, method api.Method, params, result any) error
	// Notify queues params for sending and does not wait. It fails with errs.Full
	// if the bounded send queue of the link is full.
	Notify(address string, method api.Method, params any) error
}

// Handler processes one call. The error should be an *errs.Error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Registrar registers handlers by method.
type Registrar interface {
	Handle(method api.Method, h Handler)
}

// Typed adapts a function with typed parameters to a Handler. Unknown fields and
// malformed parameters are rejected with errs.Invalid.
func Typed[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := decodeStrict(raw, &params); err != nil {
			return nil, err
		}
		return f(ctx, params)
	}
}
