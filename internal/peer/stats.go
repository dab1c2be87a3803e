package peer

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
)

// Stats holds the counters of a node since its start.
type Stats struct {
	SentBytes         int64 `json:"sent_bytes"`
	ReceivedBytes     int64 `json:"received_bytes"`
	SentMessages      int64 `json:"sent_messages"`
	ReceivedMessages  int64 `json:"received_messages"`
	Dials             int64 `json:"dials"`
	HandshakeFailures int64 `json:"handshake_failures"`
	// QueueFull counts messages rejected because a send queue was full.
	QueueFull int64 `json:"queue_full"`
	// WorkersFull counts calls and notifications rejected because all workers were
	// busy.
	WorkersFull int64 `json:"workers_full"`
	// LateAnswers counts responses without a pending call.
	LateAnswers int64 `json:"late_answers"`
	// Links is the number of links that are open now.
	Links int64 `json:"links"`
}

type counters struct {
	sentBytes         atomic.Int64
	receivedBytes     atomic.Int64
	sentMessages      atomic.Int64
	receivedMessages  atomic.Int64
	dials             atomic.Int64
	handshakeFailures atomic.Int64
	queueFull         atomic.Int64
	workersFull       atomic.Int64
	lateAnswers       atomic.Int64
	links             atomic.Int64
}

func (c *counters) read() Stats {
	return Stats{
		SentBytes:         c.sentBytes.Load(),
		ReceivedBytes:     c.receivedBytes.Load(),
		SentMessages:      c.sentMessages.Load(),
		ReceivedMessages:  c.receivedMessages.Load(),
		Dials:             c.dials.Load(),
		HandshakeFailures: c.handshakeFailures.Load(),
		QueueFull:         c.queueFull.Load(),
		WorkersFull:       c.workersFull.Load(),
		LateAnswers:       c.lateAnswers.Load(),
		Links:             c.links.Load(),
	}
}

// register exposes the counters as OpenTelemetry instruments.
func (c *counters) register(meter metric.Meter) error {
	observed := []struct {
		name, unit, help string
		value            *atomic.Int64
	}{
		{"crocusway.peer.sent", "By", "Bytes sent on peer links.", &c.sentBytes},
		{"crocusway.peer.received", "By", "Bytes received on peer links.", &c.receivedBytes},
		{"crocusway.peer.sent_messages", "{message}", "Messages sent on peer links.", &c.sentMessages},
		{"crocusway.peer.received_messages", "{message}", "Messages received on peer links.", &c.receivedMessages},
		{"crocusway.peer.dials", "{dial}", "Connection attempts to peers.", &c.dials},
		{"crocusway.peer.handshake_failures", "{handshake}", "Handshakes rejected or timed out.", &c.handshakeFailures},
		{"crocusway.peer.queue_full", "{message}", "Messages rejected because a send queue was full.", &c.queueFull},
		{"crocusway.peer.workers_full", "{message}", "Calls rejected because all workers were busy.", &c.workersFull},
		{"crocusway.peer.late_answers", "{message}", "Responses that arrived after their call had ended.", &c.lateAnswers},
	}
	for _, o := range observed {
		_, err := meter.Int64ObservableCounter(o.name, metric.WithUnit(o.unit), metric.WithDescription(o.help),
			metric.WithInt64Callback(observe(o.value)))
		if err != nil {
			return errors.Wrapf(err, "register metric %s", o.name)
		}
	}
	_, err := meter.Int64ObservableUpDownCounter("crocusway.peer.links", metric.WithUnit("{link}"),
		metric.WithDescription("Open peer links."), metric.WithInt64Callback(observe(&c.links)))
	return errors.Wrap(err, "register metric crocusway.peer.links")
}

func observe(value *atomic.Int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(value.Load())
		return nil
	}
}
