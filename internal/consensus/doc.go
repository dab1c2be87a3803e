// Package consensus replicates a log over a small set of voters.
//
// Core is a pure step function without sockets, files or clocks: the caller
// feeds it messages and ticks and carries out each Ready in the order persist,
// send, apply. Server runs a Core on a storage.Store and a Transport.
package consensus
