package control

import (
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// serviceCounts tracks the counters that entries send with their renewals. They
// count from the start of an entry process.
type serviceCounts struct {
	mu   sync.Mutex
	last map[api.EntryID]serviceRow
}

type serviceRow struct {
	incarnation api.Incarnation
	count       api.ServiceCount
}

func newServiceCounts() *serviceCounts {
	return &serviceCounts{last: make(map[api.EntryID]serviceRow)}
}

// increase returns what an entry has counted since its last renewal under this
// leader. The first renewal under a leader only sets the baseline, since its
// counts may be older than the leadership.
func (s *serviceCounts) increase(e api.EntryInfo, count *api.ServiceCount) api.ServiceCount {
	if count == nil {
		count = &api.ServiceCount{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, known := s.last[e.ID]
	s.last[e.ID] = serviceRow{incarnation: e.Incarnation, count: *count}
	switch {
	case !known:
		return api.ServiceCount{}
	case row.incarnation != e.Incarnation:
		return *count
	}
	return api.ServiceCount{
		Ended:  max(0, count.Ended-row.count.Ended),
		Served: max(0, count.Served-row.count.Served),
	}
}
