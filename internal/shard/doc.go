// Package shard admits requests to the replicas of one serving group in one
// failure domain.
//
// One entry owns a shard. The owner side is Manager: it keeps, for each
// replica, the exact number of requests in progress and the limit that the
// replica bears, and it grants slots in order of priority. The entry side is
// Client: it asks the owner for a grant, renews the grants it holds, and gives
// them back.
//
// Core holds the rules of one shard. It is a deterministic state machine that
// takes the time as an argument, does no I/O and starts no goroutine.
//
// Contract: the number of grants in use on a replica never exceeds the limit
// at the moment of the last grant. A grant ends when it is settled or when its
// lifetime has run out; an entry stops the work of a grant that it could not
// renew. A new owner grants nothing on a replica that an earlier owner may
// have used until every entry has reported its grants or the longest lifetime
// has passed.
package shard
