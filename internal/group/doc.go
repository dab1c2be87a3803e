// Package group maintains the replicas of every serving group: it forms groups
// of hosts inside one fabric domain, repairs them after losses and frees hosts
// whose membership has provably ended.
//
// Decide is a pure planner: it computes a plan from a fleet view, the memory of
// earlier views and a policy, without I/O and without reading a clock. Reconciler
// applies plans: it commits each change to the replicated log first and sends the
// orders that follow from it to backend servers afterwards. It must only be called
// on the leader, under the leader lease. A Reconciler with an empty memory
// continues the orders of an earlier leader: all it needs is in the view.
package group
