package control

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// historyLimit is the number of accepted changes that are stored.
const historyLimit = 1000

// historyTable holds the newest accepted changes, oldest first.
type historyTable struct {
	mu   sync.RWMutex
	rows []historyRow
}

// historyRow keeps the configuration revision that a change created.
type historyRow struct {
	Config api.Revision    `cbor:"1,keyasint"`
	Item   api.HistoryItem `cbor:"2,keyasint"`
}

func (h *historyTable) add(row historyRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = append(h.rows, row)
	if len(h.rows) > historyLimit {
		h.rows = slices.Delete(h.rows, 0, len(h.rows)-historyLimit)
	}
}

func (h *historyTable) list() []historyRow {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return slices.Clone(h.rows)
}

func (h *historyTable) replace(rows []historyRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = rows
}

// since describes the changes after a configuration revision.
func (h *historyTable) since(base api.Revision) string {
	var parts []string
	for _, row := range h.list() {
		if row.Config > base {
			parts = append(parts, fmt.Sprintf("revision %d by %s: %s", row.Item.Revision, row.Item.Operator, row.Item.Summary))
		}
	}
	return strings.Join(parts, "; ")
}
