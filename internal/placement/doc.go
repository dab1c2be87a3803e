// Package placement decides which replica or server takes a request of this entry,
// how long the request waits for one, and when it is refused. It does no I/O.
//
// Each service, and each model of an engine service, has a Pool with a lock of its
// own. A pool knows its targets from the view, the work of this entry exactly and
// that of other entries from their load reports, which are a few tens of
// milliseconds old. What must hold over all entries at once, the request rate of
// cold servers and the retry budget of a service, is divided by the number of
// entries and so needs no reports.
//
// Choosing passes small filters (file names begin with filter_), one scorer and a
// picker.
package placement
