// Package ingress is the request path of an entry that passes requests through:
// it finds their route, account and service in the publication, places them on a
// replica or server, and relays the answer as it comes.
//
// What callers and backend servers call things is the Dialect's matter; the package
// knows header names of HTTP only.
//
// Contract:
//   - A request runs at most once unless its route is repeatable, and on no more
//     servers than the route allows.
//   - 429 and 503 of the entry itself are sent only while no byte of a request that
//     may run once can have been read by a server.
//   - An answer is passed on whole, or ends without its end: the connection to the
//     caller is closed, and the last chunk is missing.
//   - Of a stream, whole events are passed on, each once. A stream that breaks goes
//     on at another replica behind the last event, if its route allows that.
//   - The work of a caller that has left is stopped at once.
package ingress
