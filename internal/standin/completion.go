package standin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// DefaultMaxTokens is the length of an answer whose request names none.
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

// prompt is the text that the prefix cache sees.
func (b *completionBody) prompt() string {
	var sb strings.Builder
	sb.WriteString(b.Prompt)
	for _, m := range b.Messages {
		sb.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return sb.String()
}

// completion is one completion request on a host.
type completion struct {
	host    *Host
	conn    *hostConn
	chat    bool
	body    completionBody
	id      api.RequestID
	offset  int
	fencing api.Fencing
	fault   Fault
	// other is a request whose answer a swapped answer holds.
	other   api.RequestID
	members []*Host
	job     *job
	// run is the number of the recorded run.
	run    int
	cached int
	blocks int
}

// handleCompletion answers chat and text completions.
func (h *Host) handleCompletion(ctx *fasthttp.RequestCtx, conn *hostConn, chat bool) {
	c, err := h.parseCompletion(ctx, conn, chat)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if status, reason := h.admissible(c); status != 0 {
		refuse(ctx, status, reason)
		return
	}
	if !h.begin(c, ctx) {
		h.fall()
		return
	}
	if h.fleet.crashes(ctx.PostBody()) {
		h.fall()
		return
	}
	c.fault = h.nextFault()
	if c.fault.Kind == FaultSwapAnswer {
		c.id = c.other
		ctx.Response.Header.Set(api.HeaderRequest, string(c.id))
	}
	if err = c.awaitTurn(); err != nil {
		c.leave(ctx, err)
		return
	}
	if c.body.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(c.stream)
		return
	}
	c.answer(ctx)
}

func (h *Host) parseCompletion(ctx *fasthttp.RequestCtx, conn *hostConn, chat bool) (*completion, error) {
	head := &ctx.Request.Header
	c := &completion{host: h, conn: conn, chat: chat, id: api.RequestID(head.Peek(api.HeaderRequest))}
	if c.id == "" {
		// A request without an id comes from a client that knows no crocusway.
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

// headerNumber reads a header that holds a whole number, 0 if absent.
func headerNumber(h *fasthttp.RequestHeader, name string) (int, error) {
	text := h.Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(text))
	return n, errors.Wrapf(err, "header %s", name)
}

// admissible returns the status and reason of a refusal, or 0. Only rank 0 of
// a whole and loaded group takes requests.
func (h *Host) admissible(c *completion) (int, string) {
	if !h.complete() {
		return fasthttp.StatusServiceUnavailable, "not rank 0 of a whole group"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.body.Model != h.member.model:
		return fasthttp.StatusNotFound, "model not loaded"
	case h.fleet.cfg.Engine.ChecksFencing && c.fencing != 0 && c.fencing != h.member.fencing:
		return fasthttp.StatusConflict, "fencing number of another generation"
	case c.offset > 0 && !h.fleet.cfg.Engine.Capabilities.Resume:
		return fasthttp.StatusBadRequest, "can't resume"
	default:
		return 0, ""
	}
}

// begin records the run and takes the job in. It returns false when the engine
// falls over.
func (h *Host) begin(c *completion, ctx *fasthttp.RequestCtx) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hashes := blockHashes(c.body.prompt())
	c.blocks = len(hashes)
	c.other = h.takePrevious(c.id)
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
		Borne:       h.engine.bearable(),
		Blocks:      c.blocks,
		Cached:      c.cached,
		Start:       h.fleet.cfg.Clock.Now(),
	}
	c.run = h.fleet.record.addRun(run)
	return h.engine.add(c.job)
}
