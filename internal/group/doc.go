// Package group keeps the replicas of every serving group whole: it forms
// groups of hosts inside one fabric domain, repairs them after losses and frees
// hosts whose membership is provably over.
//
// Decide is a pure planner: it turns a fleet view, the memory of earlier views
// and a policy into a plan, without I/O and without reading a clock. Reconciler
// applies plans: it records each change in the replicated log first and sends
// orders to backend servers afterwards. It must only be called on the leader,
// under the leader lease. A Reconciler with an empty memory takes over in
// mid-order: all it needs is in the view.
package group
