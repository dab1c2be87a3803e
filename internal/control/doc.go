// Package control is the control role: the replicated state of crocusway, the
// plans of operators, the work leases of entries and the ownership of shards.
//
// State is the state machine under the replicated log. It is split into tables,
// each with its own lock and file; a file named after commands holds the changes
// of a table. A command depends on nothing but its content and the state, so
// that every voter reaches the same state; time is part of a command.
//
// Service answers the calls of entries and operators on the leader and carries
// out its duties: it expires work leases, leases shards, keeps the list of
// service servers and calls the Reconciler. What it knows of backend servers and
// of work leases is soft and belongs to one leadership. A new leader assumes
// that every live entry has just renewed its lease, and that every assigned host
// has just announced itself.
//
// Three rules keep a configuration in force. An entry renews its lease only on
// the newest configuration. An entry that has lost its lease takes it up again
// only with the newest shard leases. The leader takes a lease as valid for longer
// than the entry does.
package control
