package pipeline

import (
	"bytes"
	"net/url"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// servicesPrefix is the path under which plain services are reached.
const servicesPrefix = "/services/"

// serviceCall is a parsed call to a plain service.
type serviceCall struct {
	name   string
	method string
	// path is sent to the service, with the query.
	path string
	// decoded is the unescaped path without the query, for matching.
	decoded string
	// slotHeld is set once the call holds a slot in the service's limit.
	slotHeld bool
	// excluded lists servers that were already tried.
	excluded []api.HostID
}

// parseService splits the path of a call to a plain service. An ambiguous
// path is refused.
func parseService(ctx *fasthttp.RequestCtx) (serviceCall, *refusal) {
	original := ctx.URI().PathOriginal()
	if isAmbiguous(original) {
		return serviceCall{}, invalidField("path", quote(original), "free of empty and dot segments and of encoded slashes")
	}
	rest, ok := bytes.CutPrefix(original, []byte(servicesPrefix))
	if !ok {
		return serviceCall{}, invalidField("path", quote(original), "below "+servicesPrefix)
	}
	name, path, _ := bytes.Cut(rest, []byte("/"))
	sc := serviceCall{name: string(name), method: string(ctx.Method()), path: "/" + string(path)}
	decoded, err := url.PathUnescape(sc.path)
	if err != nil {
		return serviceCall{}, invalidField("path", quote(original), "percent-encoded")
	}
	sc.decoded = decoded
	if query := ctx.URI().QueryString(); len(query) > 0 {
		sc.path += "?" + string(query)
	}
	return sc, nil
}

// isAmbiguous reports whether a path has segments that servers may normalise.
func isAmbiguous(path []byte) bool {
	lower := strings.ToLower(string(path))
	for _, bad := range []string{"//", "%2f", "%5c", "\\", "%00"} {
		if strings.Contains(lower, bad) {
			return true
		}
	}
	lower = strings.ReplaceAll(lower, "%2e", ".")
	for segment := range strings.SplitSeq(lower, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// repeatable reports whether the call may be made more than once: by its
// method, or because the operator listed its path.
func (sc serviceCall) repeatable(s *api.Service) bool {
	switch sc.method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodPut, fasthttp.MethodDelete:
		return true
	}
	for _, prefix := range s.RepeatablePaths {
		if isBelow(sc.decoded, prefix) {
			return true
		}
	}
	return false
}

// isBelow reports whether path is prefix or lies below it.
func isBelow(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && prefix != "" && (rest == "" || rest[0] == '/')
}

// serviceLimits bounds the calls in progress to each plain service.
type serviceLimits struct {
	limit int
	mu    *sync.Mutex
	calls map[string]int
}

func newServiceLimits(limit int) serviceLimits {
	return serviceLimits{limit: limit, mu: &sync.Mutex{}, calls: map[string]int{}}
}

// acquire takes a slot, or reports that none is free.
func (l serviceLimits) acquire(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[name] >= l.limit {
		return false
	}
	l.calls[name]++
	return true
}

// release frees a slot.
func (l serviceLimits) release(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[name]--
	if l.calls[name] == 0 {
		delete(l.calls, name)
	}
}
