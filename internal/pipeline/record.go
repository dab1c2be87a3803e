package pipeline

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// recordEndRetryTime bounds how long storing the end of a record is retried.
	recordEndRetryTime = 10 * time.Minute
	// maxPendingEnds bounds the records whose end is retried at a time.
	maxPendingEnds = 1024
)

// endRecord stores the end of a record. After a failure it is retried in the
// background; a resend of the call waits meanwhile.
func (s *Server) endRecord(record api.Record) {
	err := s.tryEndRecord(record)
	if err == nil {
		return
	}
	level.Warn(s.logger).Log("msg", "storing the end of a record failed, retrying", "request", record.Request, "err", err)
	s.retryEnd(record)
}

// retryEndInBackground retries storing the end of a record, unless too many
// others are pending.
func (s *Server) retryEndInBackground(record api.Record) {
	select {
	case s.pendingEnds <- struct{}{}:
	default:
		level.Error(s.logger).Log("msg", "end of a record dropped: too many pending", "request", record.Request)
		return
	}
	go func() {
		defer func() { <-s.pendingEnds }()
		s.retryEndUntilStored(record)
	}()
}

// retryEndUntilStored retries until control has stored the end of a record, or
// for recordEndRetryTime.
func (s *Server) retryEndUntilStored(record api.Record) {
	_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
		return struct{}{}, s.tryEndRecord(record)
	}, backoff.WithMaxElapsedTime(recordEndRetryTime))
	if err != nil {
		level.Error(s.logger).Log("msg", "end of a record dropped: retries failed", "request", record.Request, "err", err)
	}
}

func (s *Server) tryEndRecord(record api.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.ControlTimeout)
	defer cancel()
	return s.cfg.Control.Call(ctx, api.MethodRecordEnd, api.RecordEndRequest{Record: record}, &api.Empty{})
}

// closeRecord ends the record of a call according to its outcome.
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

// storeAnswer puts the answer into the record. A record whose answer exceeds
// MaxStoredAnswer ends as unknown.
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
