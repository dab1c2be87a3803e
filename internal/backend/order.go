package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// DefaultOrderTimeout limits an order whose context has no deadline.
const DefaultOrderTimeout = 2 * time.Second

// Send implements OrderSender. The engine responds once it has accepted the
// order, not once a load is complete.
func (c *HTTPClient) Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error) {
	const step = "send order"
	body, err := json.Marshal(o)
	if err != nil {
		return api.OrderResult{}, failure(step, address, false, err)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultOrderTimeout)
	}
	response, err := c.Do(ctx, Request{
		ID:          api.RequestID(fmt.Sprintf("order-%s-%d", o.Host, o.Fencing)),
		Address:     address,
		Method:      fasthttp.MethodPost,
		Path:        pathOrders,
		ContentType: contentJSON,
		Body:        body,
		Deadline:    deadline,
	})
	if err != nil {
		return api.OrderResult{}, errs.Wrap(err, step, address)
	}
	if err = checkStatus(step, address, response); err != nil {
		return api.OrderResult{}, err
	}
	result, err := decodeOrderResult(response.Body, o.Host)
	if err != nil {
		return api.OrderResult{}, failure(step, address, true, err)
	}
	return result, nil
}

// decodeOrderResult rejects the result of another host, which may have taken over
// the address.
func decodeOrderResult(body []byte, host api.HostID) (api.OrderResult, error) {
	var result api.OrderResult
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&result); err != nil {
		return api.OrderResult{}, errors.CombineErrors(ErrMalformed, err)
	}
	if result.Host != host {
		return api.OrderResult{}, errors.Wrapf(ErrWrongResponse, "result of host %q, want %q", result.Host, host)
	}
	return result, nil
}
