package storage

import "github.com/crocusway/crocusway/internal/consensus"

// termRuns holds the terms of the log as runs, in ascending order.
type termRuns []termRun

type termRun struct {
	index uint64
	term  uint64
}

// add records the term of an entry, which replaces the entries from its index on.
func (t termRuns) add(e consensus.Entry) termRuns {
	n := len(t)
	for n > 0 && t[n-1].index >= e.Index {
		n--
	}
	t = t[:n]
	if n > 0 && t[n-1].term == e.Term {
		return t
	}
	return append(t, termRun{e.Index, e.Term})
}

// at returns the term at an index of the log, or 0.
func (t termRuns) at(index uint64) uint64 {
	for i := len(t) - 1; i >= 0; i-- {
		if t[i].index <= index {
			return t[i].term
		}
	}
	return 0
}

// trim drops the runs that end before index.
func (t termRuns) trim(index uint64) termRuns {
	n := 0
	for n+1 < len(t) && t[n+1].index <= index {
		n++
	}
	return append(termRuns(nil), t[n:]...)
}
