// Package control is the control role: the replicated state of crocusway, the
// plans of operators, the work leases of entries and the ownership of shards.
//
// State is the state machine of the replicated log. It is split into tables,
// each with its own lock and file; files named after commands hold the commands
// that change them. A command depends on nothing but its content and the state, so
// that every voter reaches the same state; a command carries its time.
//
// Service handles the calls of entries and operators on the leader and runs the
// leader's duties: it expires work leases, leases shards, maintains the list of
// service servers and calls the Reconciler. Its data on backend servers and work
// leases is not replicated and belongs to one leadership. A new leader assumes
// that every live entry has just renewed its lease and that every assigned host
// has just announced itself.
//
// Three rules keep a configuration in force. An entry can renew its lease only on
// the newest configuration. An entry that has lost its lease regains one only
// with the newest shard leases. The leader treats a lease as valid for longer
// than the entry does.
package control
