package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// directoryTimeout limits one request for the list of entries.
const directoryTimeout = 2 * time.Second

// directory is the response body of GET /v1/entries.
type directory struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	TTLSeconds int `json:"ttl_seconds"`
}

// nextEntry returns the next entry, round-robin, and refreshes an expired or empty
// list first.
func (c *Client) nextEntry(ctx context.Context) (string, error) {
	c.mu.Lock()
	fresh := c.pinned || len(c.entries) > 0 && time.Now().Before(c.expires)
	c.mu.Unlock()
	if !fresh {
		if err := c.refresh(ctx); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return "", errors.New("choose entry: the list of entries is empty")
	}
	c.next++
	return c.entries[c.next%len(c.entries)], nil
}

// refresh fetches the list of entries from the first seed address that returns
// one.
func (c *Client) refresh(ctx context.Context) error {
	var last error
	for _, address := range c.seed {
		list, err := c.fetchDirectory(ctx, address)
		if err == nil && len(list.Entries) > 0 {
			c.setEntries(list)
			return nil
		}
		last = err
	}
	return errors.Wrap(last, "fetch list of entries")
}

func (c *Client) fetchDirectory(ctx context.Context, address string) (directory, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var list directory
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return list, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return list, err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&list)
	return list, errors.Wrapf(err, "decode list of entries (peer %s)", address)
}

func (c *Client) setEntries(list directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = c.entries[:0]
	for _, e := range list.Entries {
		c.entries = append(c.entries, e.Address)
	}
	c.expires = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
}

// handover is the part of an error response that lists other entries.
type handover struct {
	Entries *directory `json:"entries"`
}

// acceptHandover takes over the list of entries from an error response and reports
// whether the request can be sent to one of them.
func (c *Client) acceptHandover(a Answer) bool {
	if c.pinned || a.Status == http.StatusOK || a.Outcome != api.OutcomeNotRun {
		return false
	}
	var h handover
	if err := json.Unmarshal(a.Body, &h); err != nil || h.Entries == nil || len(h.Entries.Entries) == 0 {
		return false
	}
	c.setEntries(*h.Entries)
	return true
}

// removeEntry removes an entry that could not be reached, until the list is
// replaced.
func (c *Client) removeEntry(address string) {
	if c.pinned {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.entries[:0]
	for _, e := range c.entries {
		if e != address {
			kept = append(kept, e)
		}
	}
	c.entries = kept
}
