// Package peer carries JSON-RPC 2.0 calls between the processes of crocusway
// over gnet, behind a handshake with a shared secret.
//
// A Node listens for links and dials one link to each peer that it calls.
// Calls go from the dialer to the acceptor; answers come back in any order. A
// message is a frame: a length prefix of 4 bytes, big-endian, and a JSON-RPC
// payload. Before the handshake is complete an acceptor reads only small
// frames and answers no call.
//
// The handshake proves to both sides that the other knows the secret, by
// HMAC-SHA256 over a role label, the protocol version and a nonce of each
// side. It does not encrypt the link.
//
// The message types are those of sourcegraph/jsonrpc2, but not its Conn: that
// reads a blocking stream from one goroutine per connection and bounds neither
// the calls in flight nor the bytes that wait to be sent. Its Request decoder
// builds a generic tree of the parameters, so requests are decoded into an
// envelope that keeps them raw. Links keep their own table of call ids.
package peer

import (
	"context"
	"encoding/json"

	"github.com/crocusway/crocusway/internal/api"
)

// Caller sends calls to other processes. It is safe for concurrent use.
type Caller interface {
	// Call sends params to the method at the peer address "ip:port" and decodes
	// the answer into result. Errors are *errs.Error with the peer set; without
	// a deadline in ctx a default timeout applies. errs.Unavailable means that
	// the call was not sent; errs.Timeout that its outcome is unknown.
	Call(ctx context.Context, address string, method api.Method, params, result any) error
	// Notify sends params without waiting. It fails with errs.Full when the
	// bounded send queue of the link is full.
	Notify(address string, method api.Method, params any) error
}

// Handler answers one call. The error should be an *errs.Error.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Registrar accepts handlers by method.
type Registrar interface {
	Handle(method api.Method, h Handler)
}

// Typed adapts a function on typed parameters to a Handler. Unknown fields and
// malformed parameters are refused with errs.Invalid.
func Typed[P, R any](f func(ctx context.Context, params P) (R, error)) Handler {
	return func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := decodeStrict(raw, &params); err != nil {
			return nil, err
		}
		return f(ctx, params)
	}
}
