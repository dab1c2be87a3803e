// Package consensus replicates a log over a small set of voters.
//
// Core is a pure step function without sockets, files or clocks: the caller
// feeds it messages and ticks and carries out each Ready in the order persist,
// send, apply. Server runs a Core on a Store and a Transport.
//
// The promises of a Core, and what they rest on:
//
//   - One leader a term. A vote is durable before it is answered.
//   - A committed entry is never lost. It is synced by a quorum, and only an
//     entry of the leader's own term commits by counting replicas.
//   - One holder of the leader lease at a time. The lease counts from when the
//     answered heartbeat round was sent and is shorter, by the drift of both
//     clocks, than the time for which a follower votes for nobody else. That
//     time also follows each start, because a restart forgets whom the follower
//     heard. The monotonic clock must not stop while a process is paused.
//   - A voter that lost its data folder does not vote. It comes back under a new
//     incarnation, which the membership does not list as a voter; the leader
//     turns it into a learner and promotes it once it has caught up. A
//     bootstrapped member takes part only after all others have answered that
//     they are empty, so the bootstrap option does no harm when it is left on.
//   - One membership change at a time, and none before the leader has committed
//     an entry of its term, so that the majorities of neighbouring memberships
//     overlap.
package consensus
