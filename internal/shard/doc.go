// Package shard admits requests to the replicas of one serving group in one
// failure domain.
//
// One entry owns a shard. The owner side is Manager: for each replica it keeps
// the exact number of requests in progress and the concurrency limit, and it
// grants slots in order of priority. The entry side is Client: it acquires
// grants from the owner, renews those it holds and settles them.
//
// Core holds the rules of one shard. It is a deterministic state machine that
// takes the time as an argument, does no I/O and starts no goroutine.
//
// Contract: the number of grants in use on a replica never exceeds the limit
// at the moment of the last grant. A grant ends when it is settled or when its
// lifetime expires; an entry stops the work of a grant that it could not renew.
// Until every entry has reported its grants or the longest lifetime has passed,
// a new owner assumes that earlier owners issued as many grants on a replica as
// their limits allowed; where it has no such bound, it grants nothing.
package shard
