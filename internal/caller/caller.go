// Package caller is a small client of the callers' interface. It discovers the
// entries, caches their list for its TTL and reads streams up to their terminator.
// The demo, the experiments and tests use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// maxLine is the maximum length of a line of an event stream, in bytes.
	maxLine = 1 << 20
	// idlePerEntry is the maximum number of idle connections to one entry.
	idlePerEntry = 256
	// maxHandovers is the maximum number of handovers that a request follows.
	maxHandovers = 3
	dataPrefix   = "data: "
	terminator   = "[DONE]"
)

// Client calls a system as one client account. It is safe for concurrent use.
type Client struct {
	key  string
	seed []string
	http *http.Client

	// pinned disables discovery, handovers and the removal of failed entries.
	pinned bool

	mu      sync.Mutex
	entries []string
	expires time.Time
	next    int
}

// New returns a client with an API key that discovers the entries from the given
// addresses.
func New(key string, addresses []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerEntry}
	return &Client{key: key, seed: addresses, http: &http.Client{Transport: checkingTransport{transport}}}
}

// Pinned returns a client that uses one entry, without discovery.
func Pinned(key, address string) *Client {
	c := New(key, []string{address})
	c.entries = []string{address}
	c.pinned = true
	return c
}

// Answer is the response to one request.
type Answer struct {
	Entry   string
	Status  int
	Request api.RequestID
	Outcome api.Outcome
	// Handovers is the number of handovers that the request followed.
	Handovers int
	// Body is the response body if it is not a stream.
	Body []byte
	// Tokens are the contents of the stream's events, in order.
	Tokens []string
	// Terminated is set when the stream ended with its terminator.
	Terminated bool
	// FirstToken is the time from sending the request to the first token.
	FirstToken time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
}

// Text joins the tokens.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// IsComplete reports whether the answer is complete: status 200, outcome complete
// and, for a stream, a terminator.
func (a Answer) IsComplete() bool {
	return a.Status == http.StatusOK && a.Outcome == api.OutcomeComplete && (a.Tokens == nil || a.Terminated)
}

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a streamed chat completion.
type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Chat requests a streamed chat completion. The deadline of ctx is sent with the
// request.
func (c *Client) Chat(ctx context.Context, model, prompt string, maxTokens int) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model:     model,
		Stream:    true,
		MaxTokens: maxTokens,
		Messages:  []message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return Answer{}, errors.Wrap(err, "encode chat request")
	}
	return c.send(ctx, http.MethodPost, "/v1/chat/completions", "", body)
}

// Service calls a plain service. An idempotency key makes a call that is not
// idempotent safe to retry.
func (c *Client) Service(ctx context.Context, method, name, path, key string, body []byte) (Answer, error) {
	return c.send(ctx, method, "/services/"+name+path, key, body)
}

// send sends a request and follows handovers: an entry rejects a request that did
// not run with a list of the entries to use instead.
func (c *Client) send(ctx context.Context, method, path, key string, body []byte) (Answer, error) {
	var handovers int
	for {
		answer, err := c.sendOnce(ctx, method, path, key, body)
		answer.Handovers = handovers
		if err != nil || handovers == maxHandovers || !c.acceptHandover(answer) {
			return answer, err
		}
		handovers++
	}
}

func (c *Client) sendOnce(ctx context.Context, method, path, key string, body []byte) (Answer, error) {
	address, err := c.nextEntry(ctx)
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		millis := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(api.HeaderDeadlineMillis, strconv.FormatInt(millis, 10))
	}
	sent := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		c.removeEntry(address)
		return Answer{Entry: address}, errors.Wrapf(err, "send request (peer %s)", address)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, address, sent)
}

func readAnswer(response *http.Response, address string, sent time.Time) (Answer, error) {
	a := Answer{
		Entry:   address,
		Status:  response.StatusCode,
		Request: api.RequestID(response.Header.Get(api.HeaderRequest)),
		Outcome: api.Outcome(response.Header.Get(api.HeaderOutcome)),
	}
	var err error
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readStream(response.Body, sent)
	} else {
		a.Body, err = io.ReadAll(response.Body)
	}
	if trailer := response.Trailer.Get(api.HeaderOutcome); trailer != "" {
		a.Outcome = api.Outcome(trailer)
	}
	return a, errors.Wrapf(err, "read answer (peer %s)", address)
}

// chunk is the part of a stream event that contains text.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (a *Answer) readStream(body io.Reader, sent time.Time) error {
	a.Tokens = []string{}
	last := sent
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), dataPrefix)
		if !found {
			continue
		}
		if data == terminator {
			a.Terminated = true
			continue
		}
		now := time.Now()
		a.addToken(data, now.Sub(sent), now.Sub(last))
		last = now
	}
	return lines.Err()
}

func (a *Answer) addToken(data string, sinceSend, gap time.Duration) {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		return
	}
	if c.Choices[0].Delta.Content == "" {
		return
	}
	if len(a.Tokens) == 0 {
		a.FirstToken = sinceSend
	} else {
		a.Gaps = append(a.Gaps, gap)
	}
	a.Tokens = append(a.Tokens, c.Choices[0].Delta.Content)
}
