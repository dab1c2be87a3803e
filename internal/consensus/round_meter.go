package consensus

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/telemetry"
)

// roundStage is a part of one round of the server's loop.
type roundStage uint8

const (
	stageEvents roundStage = iota
	stageSend
	stageSync
	stageApply
	roundStages
)

func (r roundStage) String() string {
	return [...]string{"events", "send", "sync", "apply"}[r]
}

// slowRoundLogInterval bounds how often slow rounds are logged.
const slowRoundLogInterval = time.Second

// slowHeartbeats is the number of heartbeat intervals from which on the answer of a
// quorum counts as slow. The lease lasts for five.
const slowHeartbeats = 3

// roundMeter measures how long each round of the server's loop takes, by stage. While
// a round runs, the member neither sends nor answers heartbeats.
type roundMeter struct {
	now    func() time.Duration
	logger log.Logger
	// slow is the duration from which on a round is logged.
	slow    time.Duration
	seconds metric.Float64Histogram
	// heartbeats measures the time until a quorum has answered a heartbeat round.
	heartbeats metric.Float64Histogram
	stages     [roundStages]metric.MeasurementOption
	started    time.Duration
	lapStart   time.Duration
	spent      [roundStages]time.Duration
	// sentBytes and sentMessages count what the round handed to the transport.
	sentBytes    int
	sentMessages int
	lastLogged   time.Duration
	// lastHeartbeatLogged is when a slow heartbeat round was last logged.
	lastHeartbeatLogged time.Duration
	// unlogged counts the slow rounds since the last line.
	unlogged int
}

func newRoundMeter(now func() time.Duration, logger log.Logger, meter metric.Meter, slow time.Duration) *roundMeter {
	instruments := telemetry.NewInstruments(meter)
	m := &roundMeter{
		now:        now,
		logger:     logger,
		slow:       slow,
		seconds:    instruments.Seconds("crocusway.consensus.round", "Duration of each stage of the voter's loop."),
		heartbeats: instruments.Seconds("crocusway.consensus.heartbeat", "Time until a quorum has answered a heartbeat round of the leader."),
		lastLogged: -slowRoundLogInterval,
	}
	for stage := range roundStages {
		m.stages[stage] = metric.WithAttributeSet(attribute.NewSet(attribute.String("stage", stage.String())))
	}
	if err := instruments.Err(); err != nil {
		level.Warn(logger).Log("msg", "Metric registration failed", "err", err)
	}
	return m
}

func (m *roundMeter) begin() {
	m.started = m.now()
	m.lapStart = m.started
	m.spent = [roundStages]time.Duration{}
	m.sentBytes, m.sentMessages = 0, 0
}

// lap counts the time since the last lap for a stage.
func (m *roundMeter) lap(stage roundStage) {
	now := m.now()
	m.spent[stage] += now - m.lapStart
	m.lapStart = now
}

func (m *roundMeter) countSent(msgs []Message) {
	m.sentMessages += len(msgs)
	for i := range msgs {
		m.sentBytes += msgs[i].size()
	}
}

// end records the round and logs it if it was slow.
func (m *roundMeter) end() {
	for stage, spent := range m.spent {
		if spent > 0 {
			m.seconds.Record(context.Background(), spent.Seconds(), m.stages[stage])
		}
	}
	if m.lapStart-m.started < m.slow {
		return
	}
	m.unlogged++
	if m.lapStart-m.lastLogged < slowRoundLogInterval {
		return
	}
	level.Warn(m.logger).Log("msg", "Slow round of the voter.", "took", m.lapStart-m.started,
		"events", m.spent[stageEvents], "send", m.spent[stageSend], "sync", m.spent[stageSync], "apply", m.spent[stageApply],
		"sent_messages", m.sentMessages, "sent_bytes", m.sentBytes, "rounds", m.unlogged)
	m.lastLogged, m.unlogged = m.lapStart, 0
}

// recordHeartbeat records how long a quorum took to answer a heartbeat round, and logs
// an answer that took as long as slowHeartbeats rounds. 0 stands for no answer.
func (m *roundMeter) recordHeartbeat(roundTrip time.Duration) {
	if roundTrip == 0 {
		return
	}
	m.heartbeats.Record(context.Background(), roundTrip.Seconds())
	now := m.now()
	if roundTrip < slowHeartbeats*m.slow || now-m.lastHeartbeatLogged < slowRoundLogInterval {
		return
	}
	m.lastHeartbeatLogged = now
	level.Warn(m.logger).Log("msg", "Slow heartbeat round.", "took", roundTrip)
}
