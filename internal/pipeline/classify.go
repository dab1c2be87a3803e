package pipeline

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// classify parses the request, checks that its model or service exists, and
// determines whether it may be repeated.
type classify struct{ *Server }

func (f classify) apply(c *call) error {
	if c.kind == callService {
		return f.service(c)
	}
	return f.model(c)
}

func (f classify) model(c *call) error {
	g, bad := parseGeneration(c.kind, c.body)
	if bad != nil {
		return bad
	}
	c.generation = g
	if len(c.snapshot.Model(g.model)) == 0 {
		return &refusal{
			status:  fasthttp.StatusNotFound,
			code:    "model_not_found",
			field:   "model",
			message: "model is " + quote([]byte(g.model)) + ", must be one listed by /v1/models",
		}
	}
	c.repeatable = true
	c.fingerprint = fingerprint(c.account.ID, c.http.Path(), c.body)
	return nil
}

func (f classify) service(c *call) error {
	sc, bad := parseService(c.http)
	if bad != nil {
		return bad
	}
	c.service = sc
	known := c.snapshot.Service(sc.name)
	if known == nil {
		return &refusal{
			status:  fasthttp.StatusNotFound,
			code:    "service_not_found",
			message: "no service has this name",
		}
	}
	c.repeatable = sc.repeatable(known)
	return nil
}

// fingerprintBytes is the length of a fingerprint before its encoding.
const fingerprintBytes = 16

// fingerprint identifies a request by its account and its content.
func fingerprint(account api.AccountID, path, body []byte) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(path)
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
