// Package ingress is the request path of a pass-through entry: it finds the route,
// client account and service of a request in the publication, places it on a replica
// or backend server, and forwards the answer as it arrives.
//
// A Dialect translates the headers of callers and backend servers; the package itself
// knows standard HTTP headers only.
//
// Contract:
//   - A request runs at most once unless its route is repeatable, and on no more
//     servers than the route allows.
//   - The entry itself answers 429 or 503 only while no server can have read a byte of
//     a request that may run once.
//   - An answer is forwarded whole, or is visibly truncated: the connection to the
//     caller is closed without the last chunk.
//   - A stream is forwarded in whole events, each once. A broken stream resumes at
//     another replica after the last event, if its route allows that.
//   - If the caller disconnects, the work on its request is stopped at once.
package ingress
