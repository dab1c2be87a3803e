package api

// ForwardedCall is what the entry that a caller reached has decided about a request that it
// forwards to another entry. The receiver places and sends the request, and decides nothing
// of it again: its publication may be older or newer.
type ForwardedCall struct {
	// From is the entry that forwards the request.
	From    EntryID `json:"from"`
	Route   Route   `json:"route"`
	Service string  `json:"service"`
	// Account is the client account, empty without one, and Urgency the urgency that goes
	// before that of the route, nil without one.
	Account AccountID `json:"account,omitempty"`
	Urgency *int      `json:"urgency,omitempty"`
	// Ran is the number of servers that may have run the request already, and Counted is
	// set if the retry budget of the sender counts the request.
	Ran     int  `json:"ran,omitempty"`
	Counted bool `json:"counted,omitempty"`
	// Trials are the quarantines whose trial the request is.
	Trials []Quarantine `json:"trials,omitempty"`
}
