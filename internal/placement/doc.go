// Package placement decides which replica or server takes a request of this entry,
// how long the request waits for it, and when it is refused. It does no I/O.
//
// Each service, and each model of an engine service, has a Pool with a lock of its
// own. A pool gets its targets from the view, the exact work of this entry, and the
// work of other entries from their load reports, which are a few tens of milliseconds
// old. Limits over all entries, which are the request rate of cold servers and the
// retry budget of a service, are divided by the number of entries and so need no
// reports.
//
// A target is chosen by filters, which reject targets, and by the lowest score among
// the rest.
package placement
