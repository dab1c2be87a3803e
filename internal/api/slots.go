package api

import (
	"encoding/binary"
	"slices"

	"github.com/crocusway/crocusway/internal/errs"
)

// MaxSlots is the maximum number of slots in one batch of announcements.
const MaxSlots = 65536

// Significant returns the announcement without the fields that change with every
// heartbeat: the sequence number and the load report.
func (a Announcement) Significant() Announcement {
	a.Sequence = 0
	a.Running = 0
	a.Queued = 0
	return a
}

// EncodeSlots encodes slots as varint differences in ascending order. It sorts
// the argument.
func EncodeSlots(slots []uint64) []byte {
	slices.Sort(slots)
	out := make([]byte, 0, 2*len(slots))
	last := uint64(0)
	for _, slot := range slots {
		out = binary.AppendUvarint(out, slot-last)
		last = slot
	}
	return out
}

// DecodeSlots decodes the output of EncodeSlots. It fails with errs.Invalid on a
// truncated or oversized varint, on an overflow and on more than MaxSlots slots.
func DecodeSlots(raw []byte) ([]uint64, error) {
	slots := make([]uint64, 0, min(len(raw), MaxSlots))
	last := uint64(0)
	for len(raw) > 0 {
		diff, n := binary.Uvarint(raw)
		if n <= 0 || last+diff < last {
			return nil, errs.New(errs.Invalid, "decode slots", "", "invalid varint or overflow after %d slots", len(slots))
		}
		if len(slots) == MaxSlots {
			return nil, errs.New(errs.Invalid, "decode slots", "", "more than %d slots", MaxSlots)
		}
		last += diff
		slots = append(slots, last)
		raw = raw[n:]
	}
	return slots, nil
}
