package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	entry  string
	sent   time.Time
	status int
	sealed bool
	err    error
}

// clients send requests to entries at a steady rate.
type clients struct {
	w       *world
	http    *http.Client
	next    atomic.Int64
	mu      sync.Mutex
	answers []answer
	running sync.WaitGroup
	stop    chan struct{}
}

func newClients(w *world) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &clients{w: w, http: &http.Client{Transport: transport, Timeout: 3 * time.Second}, stop: make(chan struct{})}
}

// run sends perSecond requests to an entry, alternately unsafe and safe ones.
func (c *clients) run(entry *daemon, perSecond int) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-c.w.stopped:
				return
			case <-ticker.C:
				c.running.Add(1)
				go func() {
					defer c.running.Done()
					c.send(entry)
				}()
			}
		}
	}()
}

func (c *clients) end() {
	close(c.stop)
	c.running.Wait()
}

func (c *clients) send(entry *daemon) {
	n := c.next.Add(1)
	method, path, body := http.MethodPost, fmt.Sprintf("/post/%d", n), fmt.Sprintf("deposit %d", n)
	if n%2 == 0 {
		method, path, body = http.MethodGet, fmt.Sprintf("/read/%d", n), ""
	}
	a := answer{id: fmt.Sprintf("%016x", 0x1c41000000000000+n), entry: entry.name, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+entry.front()+path, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "shop.example"
	request.Header.Set("X-Crocusway-Request-Id", a.id)
	request.Header.Set("X-Crocusway-Deadline-Ms", "1500")
	request.Header.Set("X-Crocusway-Credential", apiKey)
	response, err := c.http.Do(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.sealed = response.StatusCode, response.Header.Get("X-Crocusway-Response-Seal") != ""
		if err = readErr; err == nil && a.status != http.StatusOK {
			c.w.record("client: %s %s to %s: %d %s", method, a.id, entry.name, a.status, strings.TrimSpace(string(text)))
		}
	}
	if a.err = err; err != nil {
		c.w.record("client: %s %s to %s: failed:%s", method, a.id, entry.name, lastPart(err.Error()))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// count counts the answers that match.
func (c *clients) count(matches func(*answer) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range c.answers {
		if matches(&c.answers[i]) {
			n++
		}
	}
	return n
}

// awaitService waits until a request through each entry is answered.
func (c *clients) awaitService(entries []*daemon, limit time.Duration) error {
	began := time.Now()
	for _, e := range entries {
		for {
			if time.Since(began) > limit {
				return fmt.Errorf("no request is answered within %v", limit)
			}
			before := c.count(isServed)
			c.send(e)
			if c.count(isServed) > before {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

func isServed(a *answer) bool { return a.err == nil && a.status == http.StatusOK && a.sealed }
