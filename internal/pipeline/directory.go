package pipeline

import (
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

// entriesBody lists the addresses that callers may use.
type entriesBody struct {
	Entries []entryBody `json:"entries"`
	// TTLSeconds is how long the list may be cached.
	TTLSeconds int `json:"ttl_seconds"`
}

type entryBody struct {
	Address string            `json:"address"`
	Domain  api.FailureDomain `json:"domain"`
}

// entries lists the live entries that are neither leaving nor in a drained domain.
func (s *Server) entries(view *entry.Snapshot) entriesBody {
	body := entriesBody{Entries: []entryBody{}, TTLSeconds: int(s.cfg.Settings.EntriesTTL.Seconds())}
	for _, e := range view.Entries {
		if !e.Live || e.Leaving || view.Drained(e.Domain) || s.isSelfLeaving(e.ID) {
			continue
		}
		body.Entries = append(body.Entries, entryBody{Address: e.CallerAddress, Domain: e.Domain})
	}
	return body
}

func (s *Server) isSelfLeaving(id api.EntryID) bool {
	return id == s.cfg.Self.ID && s.cfg.State.Leaving()
}

// serveEntries answers GET /v1/entries. It needs no API key, so that
// callers can discover entries first.
func (s *Server) serveEntries(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusOK, s.entries(s.cfg.State.Snapshot()))
	writeOutcome(ctx, newRequestID(), api.OutcomeComplete)
}

// modelsBody is the list of models in the OpenAI-compatible format.
type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels answers GET /v1/models.
func (s *Server) serveModels(ctx *fasthttp.RequestCtx) {
	view := s.cfg.State.Snapshot()
	if accountOf(view, ctx) == nil {
		s.writeRefusal(ctx, unauthorized(), newRequestID(), api.OutcomeNotRun)
		return
	}
	body := modelsBody{Object: "list", Data: []modelBody{}}
	seen := make(map[string]bool, len(view.ServingGroups))
	for _, sg := range view.ServingGroups {
		if !seen[sg.Model] {
			seen[sg.Model] = true
			body.Data = append(body.Data, modelBody{ID: sg.Model, Object: "model", OwnedBy: "crocusway"})
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
	writeOutcome(ctx, newRequestID(), api.OutcomeComplete)
}
