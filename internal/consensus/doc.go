// Package consensus replicates a log over a small set of voters.
//
// Core is a pure step function without sockets, files or clocks: the caller
// feeds it messages and ticks and carries out each Ready in the order persist,
// send, apply. Server runs a Core on a Store and a Transport.
//
// The guarantees of a Core and what they rest on:
//
//   - At most one leader per term. A vote is durable before it is sent.
//   - A committed entry is never lost. It is synced by a quorum, and only an
//     entry of the leader's own term commits by counting replicas.
//   - At most one holder of the leader lease. The lease starts when the answered
//     heartbeat round was sent and is shorter, by the drift of both clocks, than
//     the time for which a follower withholds its vote. That time also follows
//     each process start, because the last leader contact is not persisted. The
//     monotonic clock must keep running while a process is paused.
//   - A voter that lost its data folder does not vote. It restarts under a new
//     incarnation, which the membership does not list as a voter; the leader
//     turns it into a learner and promotes it once it has caught up. A
//     bootstrapped member participates only after all others have answered that
//     they are empty, so the bootstrap option may stay set.
//   - One membership change at a time, and none before the leader has committed
//     an entry of its term, so that the majorities of consecutive memberships
//     overlap.
package consensus
