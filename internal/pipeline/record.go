package pipeline

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// recordEndTime bounds how long the end of a record is sent again.
	recordEndTime = 10 * time.Minute
	// maxOpenEnds bounds the records whose end is not stored yet.
	maxOpenEnds = 1024
)

// endRecord stores the end of a record. If control can't be reached now, the
// end is sent again in the background; a resend of the call waits meanwhile.
func (s *Server) endRecord(record api.Record) {
	err := s.tryEndRecord(record)
	if err == nil {
		return
	}
	level.Warn(s.logger).Log("msg", "record not ended yet", "request", record.Request, "err", err)
	s.endLater(record)
}

// endInBackground keeps sending the end of a record, unless too many others
// are on their way.
func (s *Server) endInBackground(record api.Record) {
	select {
	case s.openEnds <- struct{}{}:
	default:
		level.Error(s.logger).Log("msg", "record left open", "request", record.Request)
		return
	}
	go func() {
		defer func() { <-s.openEnds }()
		s.keepEnding(record)
	}()
}

// keepEnding sends the end of a record until control has stored it.
func (s *Server) keepEnding(record api.Record) {
	_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
		return struct{}{}, s.tryEndRecord(record)
	}, backoff.WithMaxElapsedTime(recordEndTime))
	if err != nil {
		level.Error(s.logger).Log("msg", "record left open", "request", record.Request, "err", err)
	}
}

func (s *Server) tryEndRecord(record api.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.ControlTimeout)
	defer cancel()
	return s.cfg.Control.Call(ctx, api.MethodRecordEnd, api.RecordEndRequest{Record: record}, &api.Empty{})
}

// closeRecord ends the record of a call by its outcome.
func (s *Server) closeRecord(c *call) {
	if c.record == nil {
		return
	}
	record := *c.record
	c.record = nil
	switch c.outcome {
	case api.OutcomeNotRun:
		record.State = api.RecordNotRun
	case api.OutcomeComplete:
		s.storeAnswer(c, &record)
	default:
		record.State = api.RecordUnknown
	}
	s.endRecord(record)
}

// storeAnswer puts the answer into the record, unless it is too large to keep.
func (s *Server) storeAnswer(c *call, record *api.Record) {
	record.State = api.RecordComplete
	record.Status = c.response.Status
	record.ContentType = c.response.ContentType
	record.Body = c.response.Body
	if len(record.Body) > s.cfg.Settings.MaxStoredAnswer {
		record.State = api.RecordUnknown
		record.Body = nil
	}
}
