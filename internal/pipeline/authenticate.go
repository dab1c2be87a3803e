package pipeline

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

// authenticate finds the client account of the API key.
type authenticate struct{ *Server }

func (f authenticate) apply(c *call) error {
	c.account = accountOf(c.snapshot, c.http)
	if c.account == nil {
		return unauthorized()
	}
	return nil
}

// unauthorized returns the same refusal for a missing, malformed or unknown key.
func unauthorized() *refusal {
	return &refusal{
		status:  fasthttp.StatusUnauthorized,
		code:    "invalid_api_key",
		message: "no valid API key was given",
	}
}

var bearer = []byte("Bearer ")

// accountOf returns the account whose key the request carries, or nil.
func accountOf(s *entry.Snapshot, ctx *fasthttp.RequestCtx) *api.Account {
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	key, ok := bytes.CutPrefix(header, bearer)
	if !ok || len(key) == 0 {
		return nil
	}
	sum := sha256.Sum256(key)
	var hash [2 * sha256.Size]byte
	hex.Encode(hash[:], sum[:])
	account := s.AccountByHash(string(hash[:]))
	if account == nil || !hasHash(account, hash[:]) {
		return nil
	}
	return account
}

// hasHash compares every hash of the account in constant time.
func hasHash(a *api.Account, hash []byte) bool {
	found := 0
	for _, h := range a.KeyHashes {
		found |= subtle.ConstantTimeCompare([]byte(h), hash)
	}
	return found == 1
}
