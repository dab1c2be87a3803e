package config

import (
	"fmt"
	"sort"
	"strings"

	"github.com/crocusway/crocusway/internal/faults"
)

// Error holds all faults of a set of settings.
type Error struct {
	Faults faults.List
}

// Error implements error with one fault per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d invalid settings:", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

var checker = faults.NewChecker("flag")

// Validate checks a settings struct by its validate tags, and a *Serve also by the
// constraints between its fields. Errors name fields by their flag tags.
func Validate(settings any) error {
	list := checker.Check(settings)
	if s, ok := settings.(*Serve); ok {
		s.checkRelations(&list)
	}
	if len(list) == 0 {
		return nil
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Field < list[j].Field })
	return &Error{Faults: list}
}

// checkRelations checks constraints that involve several fields.
func (s *Serve) checkRelations(list *faults.List) {
	if s.Has(RoleControl) && s.DataDir == "" {
		list.Add("data-dir", "", "set for the role control")
	}
	if s.Has(RoleControl) && len(s.Voters) > 0 && !s.isVoter() {
		list.Add("voters", s.Name, "a list that contains this daemon's name")
	}
	if s.RenewInterval*2 > s.WorkLease {
		list.Add("renew-interval", s.RenewInterval, "at most half of work-lease %s", s.WorkLease)
	}
	if s.OrderHorizon < s.WorkLease {
		list.Add("order-horizon", s.OrderHorizon, "at least work-lease %s", s.WorkLease)
	}
	seen := make(map[string]bool, len(s.Voters))
	for _, v := range s.Voters {
		if seen[string(v.ID)] {
			list.Add("voters", string(v.ID), "without repeats")
		}
		seen[string(v.ID)] = true
	}
}

func (s *Serve) isVoter() bool {
	for _, v := range s.Voters {
		if string(v.ID) == s.Name {
			return true
		}
	}
	return false
}
