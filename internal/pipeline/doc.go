// Package pipeline is the request path of an entry, from a caller's HTTP
// request to the answer of a backend server.
//
// A request passes a fixed order of filters, see order.go; each filter has a
// file of its own. A filter either passes the call on or refuses it with a typed
// error that names the outcome that the caller may rely on.
//
// Contract:
//   - Every answer carries Crocusway-Request and Crocusway-Outcome. A token
//     stream carries the outcome as an HTTP trailer and as an SSE comment right
//     before its terminator, because the outcome is not known when the header is
//     sent.
//   - not-run is reported only if no byte of the request can have reached a
//     backend server.
//   - A stream ends with "data: [DONE]" if it is complete, and otherwise
//     with an event named "error" and no terminator.
//   - A non-idempotent request is dispatched only by the call that created its
//     record, and never again once a byte may have been sent.
package pipeline
