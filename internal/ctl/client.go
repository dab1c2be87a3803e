// Package ctl is the command-line client of operators: it submits intents, decides
// on plans and shows the state of the system.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/operator"
)

const (
	// connectTimeout bounds one connection attempt to a daemon.
	connectTimeout = 2 * time.Second
	// responseTimeout bounds one response, in addition to the requested wait.
	responseTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response, far above the state of a large system.
	maxResponseBytes = 256 << 20
)

// Client calls the operators' interface on the first available daemon.
type Client struct {
	addresses []string
	token     config.Secret
	operator  string
	forwarder *backend.Forwarder
}

// NewClient returns a client for the caller addresses "ip:port".
func NewClient(addresses []string, token config.Secret, operatorName string) *Client {
	return &Client{
		addresses: addresses,
		token:     token,
		operator:  operatorName,
		forwarder: backend.NewForwarder(backend.Config{DialTimeout: connectTimeout}),
	}
}

// Plan records a plan for the intent.
func (c *Client) Plan(intent api.Intent) (api.Plan, error) {
	return c.PlanOnce(intent, ulid.Make().String())
}

// PlanOnce records a plan for the intent, or returns the plan that an earlier call
// with the same key recorded.
func (c *Client) PlanOnce(intent api.Intent, key string) (api.Plan, error) {
	var response api.PlanResponse
	err := c.post("/v1/operator/plans", key, intent, 0, &response)
	return response.Plan, err
}

// Decide confirms or rejects a plan and waits for it to be in force.
func (c *Client) Decide(id api.PlanID, confirm bool, wait time.Duration) (api.DecideResponse, error) {
	decision := "reject"
	if confirm {
		decision = "confirm"
	}
	path := fmt.Sprintf("/v1/operator/plans/%d/%s?wait_millis=%d", id, decision, wait.Milliseconds())
	var response api.DecideResponse
	err := c.post(path, "", nil, wait, &response)
	return response, err
}

// Plans lists the plans, newest first.
func (c *Client) Plans() ([]api.Plan, error) {
	var response api.PlansResponse
	err := c.get("/v1/operator/plans", &response)
	return response.Plans, err
}

// Status returns the control leader's status.
func (c *Client) Status() (api.StatusResponse, error) {
	var response api.StatusResponse
	err := c.get("/v1/operator/status", &response)
	return response, err
}

// History lists the accepted changes, newest first.
func (c *Client) History(limit int) ([]api.HistoryItem, error) {
	var response api.HistoryResponse
	err := c.get(fmt.Sprintf("/v1/operator/history?limit=%d", limit), &response)
	return response.Items, err
}

// Member changes the set of voters.
func (c *Client) Member(request api.MemberRequest) error {
	return c.post("/v1/operator/members", "", request, 0, &api.Empty{})
}

// Dump returns the state of the daemon at one address as JSON.
func (c *Client) Dump(address string) (json.RawMessage, error) {
	var raw json.RawMessage
	err := c.call(address, apiCall{method: fasthttp.MethodGet, path: "/debug/state"}, &raw)
	return raw, err
}

func (c *Client) get(path string, result any) error {
	return c.callAny(apiCall{method: fasthttp.MethodGet, path: path}, result)
}

// apiCall is one call to the operators' interface.
type apiCall struct {
	method string
	path   string
	// key is the idempotency key of a call that is not otherwise idempotent.
	key  string
	body []byte
	// wait is how long the daemon may delay the response.
	wait time.Duration
}

func (c *Client) post(path, key string, body any, wait time.Duration, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	return c.callAny(apiCall{method: fasthttp.MethodPost, path: path, key: key, body: raw, wait: wait}, result)
}

// callAny tries the daemons in order until one responds. Every operator call is
// idempotent, so that a call whose response is lost may be retried on another.
func (c *Client) callAny(q apiCall, result any) error {
	var lastErr error
	for _, address := range c.addresses {
		err := c.call(address, q, result)
		if err == nil || !isRetryable(err) {
			return err
		}
		lastErr = err
	}
	return lastErr
}

func isRetryable(err error) bool {
	code := errs.CodeOf(err)
	return code == errs.Unavailable || code == errs.Timeout || code == errs.NotLeader
}

func (c *Client) call(address string, q apiCall, result any) error {
	step := q.method + " " + q.path
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout+q.wait)
	defer cancel()
	status, body, err := c.send(ctx, address, q)
	if err != nil {
		return &errs.Error{Code: errs.Unavailable, Step: step, Peer: address, Err: err}
	}
	return decodeResponse(status, body, step, address, result)
}

// send makes a call on a connection of its own, since responses name no call, and returns the status
// and the body of the response.
func (c *Client) send(ctx context.Context, address string, q apiCall) (int, []byte, error) {
	exchange, err := c.forwarder.Send(ctx, backend.Forward{Address: address, Head: c.head(address, q), Body: q.body, Fresh: true})
	if err != nil {
		return 0, nil, err
	}
	defer exchange.Close()
	until, _ := ctx.Deadline()
	if err := exchange.AwaitHeader(until); err != nil {
		return 0, nil, err
	}
	body, err := exchange.ReadBody(until, maxResponseBytes)
	return exchange.Header.StatusCode(), body, err
}

// head returns the request line and header lines of a call.
func (c *Client) head(address string, q apiCall) []byte {
	var h fasthttp.RequestHeader
	h.SetMethod(q.method)
	h.SetRequestURI(q.path)
	h.SetHost(address)
	h.SetConnectionClose()
	h.SetContentLength(len(q.body))
	h.Set("Authorization", "Bearer "+c.token.Reveal())
	h.Set("Crocusway-Operator", c.operator)
	if q.key != "" {
		h.Set(api.HeaderIdempotencyKey, q.key)
	}
	return bytes.TrimSuffix(h.Header(), []byte("\r\n"))
}

func decodeResponse(status int, body []byte, step, address string, result any) error {
	if status == fasthttp.StatusOK {
		err := json.Unmarshal(body, result)
		return errs.Wrap(err, "decode response to "+step, address)
	}
	var failure operator.ErrorBody
	if err := json.Unmarshal(body, &failure); err != nil || failure.Error.Message == "" {
		return errs.New(errs.Internal, step, address, "status %d", status)
	}
	return errs.New(failure.Error.Code, step, address, "%s", failure.Error.Message)
}
