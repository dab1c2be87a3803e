// Package control is the control role: the replicated state of crocusway, the
// plans of operators, the work leases of entries and the ownership of shards.
package control
