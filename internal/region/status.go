package region

import (
	"encoding/json"
	"sort"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// Summary is the state of one region.
type Summary struct {
	Region   Name         `json:"region"`
	Reached  bool         `json:"reached"`
	Reason   string       `json:"reason,omitempty"`
	Leader   api.VoterID  `json:"leader,omitempty"`
	Revision api.Revision `json:"revision,omitempty"`
	// Entries and LiveEntries count the entry daemons.
	Entries     int `json:"entries"`
	LiveEntries int `json:"live_entries"`
	// Wanted and Ready count replicas over all serving groups.
	Wanted  int      `json:"wanted_replicas"`
	Ready   int      `json:"ready_replicas"`
	Drained []string `json:"drained_domains,omitempty"`
}

// Difference is an item that is not equal in all reached regions.
type Difference struct {
	// Item is "account ID" or "service NAME".
	Item string `json:"item"`
	// Regions lists the regions that lack the item or whose item differs from that
	// of the first region that has it.
	Regions []Name `json:"regions"`
}

// Overview is the state of all regions and their differences.
type Overview struct {
	Regions     []Summary    `json:"regions"`
	Differences []Difference `json:"differences,omitempty"`
}

// Overview queries all regions concurrently. Unreachable regions are listed as
// such and excluded from the comparison.
func (r *Runner) Overview(regions Regions) Overview {
	out := Overview{Regions: make([]Summary, len(regions.Regions))}
	views := make([]*api.View, len(regions.Regions))
	var wg sync.WaitGroup
	for i, region := range regions.Regions {
		wg.Go(func() { out.Regions[i], views[i] = r.summary(region.Name) })
	}
	wg.Wait()
	out.Differences = differences(regions, views)
	return out
}

func (r *Runner) summary(name Name) (Summary, *api.View) {
	s := Summary{Region: name}
	op, err := r.operator(name)
	if err != nil {
		s.Reason = err.Error()
		return s, nil
	}
	status, err := op.Status()
	if err != nil {
		s.Reason = err.Error()
		return s, nil
	}
	s.Reached = true
	s.Leader = status.Leader
	s.count(status.View)
	return s, &status.View
}

func (s *Summary) count(v api.View) {
	s.Revision = v.Revision
	s.Entries = len(v.Entries)
	for _, e := range v.Entries {
		if e.Live && !e.Leaving {
			s.LiveEntries++
		}
	}
	for _, sg := range v.ServingGroups {
		s.Wanted += sg.Replicas
	}
	for _, g := range v.Groups {
		if g.Phase == api.GroupReady {
			s.Ready++
		}
	}
	for _, d := range v.Domains {
		if d.State == api.DomainDrained {
			s.Drained = append(s.Drained, string(d.Name))
		}
	}
}

// differences compares the shared items of the regions; a nil view is skipped.
func differences(regions Regions, views []*api.View) []Difference {
	itemsByRegion := make([]map[string]string, len(views))
	first := make(map[string]string)
	for i, v := range views {
		if v == nil {
			continue
		}
		itemsByRegion[i] = sharedItems(v)
		for item, value := range itemsByRegion[i] {
			if _, ok := first[item]; !ok {
				first[item] = value
			}
		}
	}
	var out []Difference
	for item, value := range first {
		d := Difference{Item: item}
		for i, items := range itemsByRegion {
			if items != nil && items[item] != value {
				d.Regions = append(d.Regions, regions.Regions[i].Name)
			}
		}
		if len(d.Regions) > 0 {
			out = append(out, d)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

// sharedItems returns the accounts and services of a view in a comparable form.
func sharedItems(v *api.View) map[string]string {
	out := make(map[string]string, len(v.Accounts)+len(v.Services))
	for _, a := range v.Accounts {
		out["account "+string(a.ID)] = encodeJSON(a)
	}
	for _, s := range v.Services {
		out["service "+s.Name] = encodeJSON(s)
	}
	return out
}

func encodeJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
