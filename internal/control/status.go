package control

import (
	"context"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
)

// shownHashLength is the length of a key's digest in a status: enough to
// distinguish the keys of one account.
const shownHashLength = 8

// status handles control.status.
func (s *Service) status(ctx context.Context, _ api.Empty) (api.StatusResponse, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.StatusResponse{}, err
	}
	log := s.log.Status()
	view := s.state.View()
	view.Accounts = shortenHashes(view.Accounts)
	fleet := s.fleet(lead)
	response := api.StatusResponse{
		Leader:      log.Leader,
		Term:        log.Term,
		Voters:      log.Voters,
		View:        view,
		Hosts:       fleet.Hosts,
		Assignments: fleet.Assignments,
		Measures:    lead.measures.status(s.cfg.Clock.Now()),
	}
	return response, s.confirmLeading(lead)
}

func shortenHashes(accounts []api.Account) []api.Account {
	out := slices.Clone(accounts)
	for i, a := range out {
		out[i].KeyHashes = nil
		for _, hash := range a.KeyHashes {
			out[i].KeyHashes = append(out[i].KeyHashes, hash[:min(shownHashLength, len(hash))])
		}
	}
	return out
}
