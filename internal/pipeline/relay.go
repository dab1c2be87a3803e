package pipeline

import (
	"github.com/crocusway/crocusway/internal/api"
)

// sseContentType is the media type of server-sent events.
const sseContentType = "text/event-stream"

// relay passes the answer on to the caller.
type relay struct{ *Server }

func (f relay) apply(c *call) error {
	if c.response.Stream != nil {
		f.stream(c)
		return nil
	}
	c.outcome = api.OutcomeComplete
	c.http.SetStatusCode(c.response.Status)
	c.http.SetContentType(c.response.ContentType)
	c.http.Response.SetBodyRaw(c.response.Body)
	writeOutcome(c.http, c.id, c.outcome)
	return nil
}

// stream sets a body from which the HTTP server reads the events. The outcome
// follows as a trailer.
func (f relay) stream(c *call) {
	header := &c.http.Response.Header
	c.http.SetStatusCode(c.response.Status)
	c.http.SetContentType(sseContentType)
	header.Set("Cache-Control", "no-store")
	header.Set(api.HeaderRequest, string(c.id))
	// It fails only for names that are forbidden in trailers.
	_ = header.SetTrailer(api.HeaderOutcome)
	c.http.Response.SetBodyStream(&tokenReader{Server: f.Server, call: c}, -1)
}
