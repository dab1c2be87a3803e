package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

var (
	errAborted  = errors.New("engine stopped")
	errCanceled = errors.New("canceled")
)

// TokenText returns the text of token i, counted from 1, of a request. It depends
// on nothing else, so that a resumed stream continues with the same tokens on any
// host.
func TokenText(id api.RequestID, i int) string {
	return fmt.Sprintf("%08x.%d ", crc32.ChecksumIEEE([]byte(id)), i)
}

// AnswerText returns the concatenated text of the first n tokens.
func AnswerText(id api.RequestID, n int) string {
	var sb strings.Builder
	for i := 1; i <= n; i++ {
		sb.WriteString(TokenText(id, i))
	}
	return sb.String()
}

// wait sleeps for d, then until no member of the replica is paused.
func (c *completion) wait(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.job.aborted:
		return errAborted
	case <-c.job.canceled:
		return errCanceled
	}
	for _, member := range c.members {
		if !member.paused.Load() {
			continue
		}
		select {
		case <-member.resumedChan():
		case <-c.job.aborted:
			return errAborted
		}
	}
	return nil
}

// awaitFirstToken waits until the job is admitted, then for the first token.
func (c *completion) awaitFirstToken() error {
	select {
	case <-c.job.admitted:
	case <-c.job.aborted:
		return errAborted
	case <-c.job.canceled:
		return errCanceled
	}
	if c.fault.Kind == FaultLate {
		if err := c.wait(c.fault.Delay); err != nil {
			return err
		}
	}
	cfg := c.host.fleet.cfg.Engine
	return c.wait(c.scale(cfg.FirstToken + time.Duration(c.blocks-c.cached)*cfg.BlockTime))
}

// scale multiplies a duration by the slowdown of the engine and of the slowest
// member of the replica.
func (c *completion) scale(d time.Duration) time.Duration {
	slowest := 1.0
	for _, member := range c.members {
		slowest = max(slowest, member.slowFactor())
	}
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	return time.Duration(slowest * float64(c.host.engine.scale(d)))
}

// finish removes the job from the batch and records a completed run.
func (c *completion) finish(complete bool) {
	c.host.mu.Lock()
	c.host.engine.remove(c.job, complete)
	c.host.mu.Unlock()
	if complete {
		f := c.host.fleet
		f.record.addComplete(c.run, f.cfg.Clock.Now())
	}
}

// fail ends a request whose response has not started.
func (c *completion) fail(ctx *fasthttp.RequestCtx, cause error) {
	c.finish(false)
	if errors.Is(cause, errAborted) {
		_ = c.conn.Close()
		return
	}
	refuse(ctx, fasthttp.StatusGone, cause.Error())
}

// answer sends a response that is not streamed.
func (c *completion) answer(ctx *fasthttp.RequestCtx) {
	for i := c.offset + 2; i <= c.body.MaxTokens; i++ {
		if err := c.wait(c.scale(c.host.fleet.cfg.Engine.TokenTime)); err != nil {
			c.fail(ctx, err)
			return
		}
	}
	c.finish(true)
	var text strings.Builder
	for i := c.offset + 1; i <= c.body.MaxTokens; i++ {
		text.WriteString(TokenText(c.id, i))
	}
	writeJSON(ctx, c.fullResponse(text.String()))
	if c.fault.Kind == FaultTruncate {
		body := ctx.Response.Body()
		ctx.Response.SetBodyStream(&truncatedBody{remaining: body[:len(body)/2], conn: c.conn}, len(body))
	}
}

// truncatedBody returns the first part of a body, then closes the connection.
type truncatedBody struct {
	remaining []byte
	conn      *hostConn
}

// Read implements io.Reader.
func (b *truncatedBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		_ = b.conn.Close()
		return 0, errAborted
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// stream writes the events of a streamed response. It runs on its own goroutine. An error
// closes the connection once the events before it are sent.
func (c *completion) stream(w *bufio.Writer) error {
	complete := false
	defer func() { c.finish(complete) }()
	for i := c.offset + 1; i <= c.body.MaxTokens; i++ {
		if i > c.offset+1 {
			if err := c.wait(c.scale(c.host.fleet.cfg.Engine.TokenTime)); err != nil {
				c.breakStream(w, err)
				return nil
			}
		}
		if ended, err := c.injectFault(w, i); ended {
			return err
		}
		if err := c.writeToken(w, i); err != nil {
			return err
		}
	}
	complete = true
	_, _ = w.WriteString("data: [DONE]\n\n")
	return w.Flush()
}

// breakStream ends a stream early, with an error event unless the engine was
// aborted.
func (c *completion) breakStream(w *bufio.Writer, cause error) {
	if errors.Is(cause, errAborted) {
		_ = c.conn.Close()
		return
	}
	_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", cause)
	_ = w.Flush()
}

// injectFault applies the fault that is due before token i. It reports whether the stream
// ends, and the error with which it does.
func (c *completion) injectFault(w *bufio.Writer, i int) (ended bool, err error) {
	sent := i - 1 - c.offset
	if sent != c.fault.After {
		return false, nil
	}
	switch c.fault.Kind {
	case FaultTruncate:
		return true, errAborted
	case FaultNoEnd:
		return true, nil
	case FaultRepeat:
		if sent > 0 {
			err = c.writeToken(w, i-1)
		}
	}
	return err != nil, err
}

func (c *completion) writeToken(w *bufio.Writer, i int) error {
	id := c.id
	if c.fault.Kind == FaultSwapEvent && i-1-c.offset == c.fault.After {
		id = c.swapID
	}
	raw, err := json.Marshal(c.chunk(id, i))
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(w, "id: %s\ndata: %s\n\n", backend.EventID(id, i), raw); err != nil {
		return err
	}
	return w.Flush()
}
