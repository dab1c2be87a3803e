// Package standin holds small stand-ins of model engines and plain services:
// real HTTP servers on loopback that announce themselves and model the
// interface of a backend server and no more. Demo, bench and tests use them.
//
// A Fleet owns the hosts. All hosts share one HTTP server and one announcer,
// so an idle host costs a listener and the goroutine that accepts on it.
package standin
