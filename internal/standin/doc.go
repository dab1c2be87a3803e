// Package standin simulates model engines and plain services for the demo, the
// benchmarks and tests: HTTP servers on loopback that announce themselves and
// implement only the interface of a backend server.
//
// A Fleet owns the hosts. All hosts share one HTTP server and one announcer,
// so an idle host costs one listener and its accept goroutine.
package standin
