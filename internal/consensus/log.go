package consensus

// entryLog is the in-memory log after a compacted prefix.
type entryLog struct {
	// offset and offsetTerm identify the entry just before entries[0].
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// stable is the index of the last synced entry.
	stable    uint64
	committed uint64
	applied   uint64
}

func newEntryLog(s State) *entryLog {
	l := &entryLog{
		offset:     s.Snapshot.Index,
		offsetTerm: s.Snapshot.Term,
		entries:    s.Entries,
		committed:  s.Snapshot.Index,
		applied:    s.Snapshot.Index,
	}
	l.stable = l.last()
	l.commitTo(s.HardState.Commit)
	return l
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index; ok is false when the index is compacted or
// beyond the end.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// slice returns entries from index on, at least one and at most maxBytes of
// data; maxBytes 0 stands for no bound.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	if from <= l.offset || from > to {
		return nil
	}
	all := l.entries[from-l.offset-1 : to-l.offset]
	if maxBytes == 0 {
		return all
	}
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// entryOverhead is the encoded size of an entry without its data, in bytes.
const entryOverhead = 16

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.offset-1]
	// A full slice expression makes later appends copy, because messages still
	// refer to the removed entries.
	l.entries = kept[:len(kept):len(kept)]
	l.stable = min(l.stable, index-1)
}

// commitTo raises the commit index, bounded by the last entry.
func (l *entryLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// upToDate reports whether a log ending in (index, term) has at least
// everything that this log has.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// conflictHint returns the largest index at or below index whose term is at
// most term, so that the leader skips whole terms.
func (l *entryLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		got, ok := l.term(index)
		if ok && got <= term {
			break
		}
		index--
	}
	return index
}

// trailing returns the index before the entries that fit into both bounds and
// end at index.
func (l *entryLog) trailing(index, maxEntries uint64, maxBytes int) uint64 {
	from, size := index, 0
	for from > l.offset && index-from < maxEntries {
		size += len(l.entries[from-l.offset-1].Data) + entryOverhead
		if size > maxBytes {
			break
		}
		from--
	}
	return from
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	rest := l.entries[index-l.offset:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.offset, l.offsetTerm = index, term
}

// reset restarts the log after a snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{
		offset:     s.Index,
		offsetTerm: s.Term,
		stable:     s.Index,
		committed:  s.Index,
		applied:    s.Index,
	}
}
