package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// DefaultMaxTokens is the length of a response, in tokens, if the request sets no
// max_tokens.
const DefaultMaxTokens = 16

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody is the part of a completion request that the engine reads.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// prompt returns the text that the prefix cache hashes.
func (b *completionBody) prompt() string {
	var sb strings.Builder
	sb.WriteString(b.Prompt)
	for _, m := range b.Messages {
		sb.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return sb.String()
}

// completion is one completion request that a host processes.
type completion struct {
	host    *Host
	conn    *hostConn
	chat    bool
	body    completionBody
	id      api.RequestID
	offset  int
	fencing api.Fencing
	fault   Fault
	// swapID is the request whose response FaultSwapAnswer and FaultSwapEvent
	// send.
	swapID  api.RequestID
	members []*Host
	job     *job
	// run is the index of the recorded run.
	run    int
	cached int
	blocks int
}

// handleCompletion handles chat and text completions.
func (h *Host) handleCompletion(ctx *fasthttp.RequestCtx, conn *hostConn, chat bool) {
	c, err := h.parseCompletion(ctx, conn, chat)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if status, reason := h.checkAdmission(c); status != 0 {
		refuse(ctx, status, reason)
		return
	}
	if !h.startRun(c, ctx) {
		h.crash()
		return
	}
	if h.fleet.triggersCrash(ctx.PostBody()) {
		h.crash()
		return
	}
	c.fault = h.nextFault()
	if c.fault.Kind == FaultSwapAnswer {
		c.id = c.swapID
		ctx.Response.Header.Set(api.HeaderRequest, string(c.id))
	}
	if err = c.awaitFirstToken(); err != nil {
		c.fail(ctx, err)
		return
	}
	if c.body.Stream {
		ctx.SetContentType("text/event-stream")
		// A pipe without a buffer, so that a cut comes behind the events before it.
		reader, writer := io.Pipe()
		go func() { _ = writer.CloseWithError(c.stream(bufio.NewWriter(writer))) }()
		ctx.SetBodyStream(reader, -1)
		return
	}
	c.answer(ctx)
}

func (h *Host) parseCompletion(ctx *fasthttp.RequestCtx, conn *hostConn, chat bool) (*completion, error) {
	head := &ctx.Request.Header
	c := &completion{host: h, conn: conn, chat: chat, id: api.RequestID(head.Peek(api.HeaderRequest))}
	if c.id == "" {
		// A client that calls the host directly sends no request id.
		c.id = h.fleet.directID()
		ctx.Response.Header.Set(api.HeaderRequest, string(c.id))
	}
	if err := json.Unmarshal(ctx.PostBody(), &c.body); err != nil {
		return nil, errors.Wrap(err, "decode body")
	}
	if c.body.MaxTokens <= 0 {
		c.body.MaxTokens = DefaultMaxTokens
	}
	offset, err := headerNumber(head, api.HeaderOffset)
	if err != nil {
		return nil, err
	}
	priority, err := headerNumber(head, api.HeaderPriority)
	if err != nil {
		return nil, err
	}
	fencing, err := headerNumber(head, api.HeaderFencing)
	if err != nil {
		return nil, err
	}
	c.offset = offset
	c.fencing = api.Fencing(fencing)
	c.job = newJob(c.id, priority)
	return c, nil
}

// headerNumber parses an integer header, 0 if it is absent.
func headerNumber(h *fasthttp.RequestHeader, name string) (int, error) {
	text := h.Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(text))
	return n, errors.Wrapf(err, "header %s", name)
}

// checkAdmission returns the status and reason of a rejection, or status 0. Only
// rank 0 of a complete and loaded group accepts requests.
func (h *Host) checkAdmission(c *completion) (int, string) {
	if !h.groupComplete() {
		return fasthttp.StatusServiceUnavailable, "host is not rank 0 of a complete group"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.body.Model != h.member.model:
		return fasthttp.StatusNotFound, "model is not loaded"
	case h.fleet.cfg.Engine.ChecksFencing && c.fencing != 0 && c.fencing != h.member.fencing:
		return fasthttp.StatusConflict, "fencing number does not match the current generation"
	case c.offset > 0 && !h.fleet.cfg.Engine.Capabilities.Resume:
		return fasthttp.StatusBadRequest, "resuming a stream is not supported"
	default:
		return 0, ""
	}
}

// startRun records the run and queues the job. It returns false if the job
// overloads a cold engine, which then crashes.
func (h *Host) startRun(c *completion, ctx *fasthttp.RequestCtx) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hashes := blockHashes(c.body.prompt())
	c.blocks = len(hashes)
	c.swapID = h.swapPreviousLocked(c.id)
	c.members = h.member.hosts
	c.cached = h.engine.cache.visit(hashes)
	run := Run{
		Request:     c.id,
		Host:        h.id,
		Incarnation: h.incarnation,
		Group:       h.member.group,
		Fencing:     h.member.fencing,
		Granted:     c.fencing,
		Path:        string(ctx.Path()),
		Body:        string(ctx.PostBody()),
		Concurrent:  len(h.engine.running) + len(h.engine.queue) + 1,
		Capacity:    h.engine.capacity(),
		Blocks:      c.blocks,
		Cached:      c.cached,
		Start:       h.fleet.cfg.Clock.Now(),
	}
	c.run = h.fleet.record.addRun(run)
	return h.engine.add(c.job)
}
