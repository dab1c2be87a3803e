//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// manyClients is the size of a crowd of heads, fewClients that of one of large bodies.
	manyClients = 500
	fewClients  = 60
	// headFill is as many bytes of lines as fit into a head beside the other lines.
	headFill = 15800
)

// fill repeats a text up to a length in bytes.
func fill(text string, length int) string { return strings.Repeat(text, length/len(text)) }

func TestHeadsOfManyLinesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) { c.send([]byte(c.head(fill("a:\r\n", headFill)))) })
}

func TestAnsweredHeadsOfManyLines(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) { sendTwice(c, c.head(fill("a:\r\n", headFill))+"Content-Length: 0\r\n\r\n") })
}

// sendTwice sends a request and, after its answer, again.
func sendTwice(c *client, request string) {
	r := bufio.NewReader(c)
	for range 2 {
		if !c.send([]byte(request)) || c.status(r) == 0 {
			return
		}
	}
}

func TestHeadsWithBareLineFeeds(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) { sendTwice(c, c.head(fill("b:\n", headFill))+"Content-Length: 0\r\n\r\n") })
}

func TestHeadsOfManyCookies(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) {
		sendTwice(c, c.head("Cookie: "+fill("a;", headFill)+"a\r\nContent-Length: 0\r\n\r\n"))
	})
}

func TestHeadsOfManyListItems(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) {
		sendTwice(c, c.head("X-Crocusway-Prompt-Prefix: "+fill("a:1,", headFill)+"b:1\r\nContent-Length: 0\r\n\r\n"))
	})
}

func TestHeadsOverTheLimit(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) { sendTwice(c, c.head(fill("a:\r\n", 60_000))+"Content-Length: 0\r\n\r\n") })
}

// The configured limit was used by nothing, and a head of four times its size accepted.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := newSystem(t)
	status := 0
	crowd := gather(t, s.front(), 1, func(c *client) {
		c.send([]byte(c.head(fill("a: b\r\n", 60_000)) + "Content-Length: 0\r\n\r\n"))
		status = c.status(bufio.NewReader(c))
	})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	require.False(t, s.server.received(crowd[0].id))
}

func TestHeadsWithoutEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { flood(c, c.head(""), "X-A: "+fill("a", 90)+"\r\n") })
}

func TestFirstLinesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { flood(c, "POST /", fill("a", 100)) })
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { flood(c, "", "\r\n") })
}

// flood sends one text and then another without end, until the daemon closes the
// connection or has taken a few times what it may hold.
func flood(c *client, first, more string) {
	const size, blocks = 64 << 10, 128
	if !c.send([]byte(first)) {
		return
	}
	block := []byte(fill(more, size))
	for range blocks {
		if !c.send(block) {
			return
		}
	}
}

// A head that never ends kept its connection open for good.
func TestSlowHeadsAreClosed(t *testing.T) {
	for name, piece := range map[string]string{"lines": "a:\r\n", "empty lines": "\r\n", "first line": "G"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			var open atomic.Int32
			withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) {
				if name == "lines" {
					c.send([]byte(c.head("")))
				}
				if !drip(c, piece) {
					open.Add(1)
				}
			})
			require.Zero(t, open.Load(), "connections that stay open")
		})
	}
}

// drip sends a piece at a time and reports whether the daemon closes the connection.
func drip(c *client, piece string) bool {
	closed := make(chan bool, 1)
	go func() { closed <- c.isClosed() }()
	for {
		select {
		case done := <-closed:
			return done
		case <-time.After(2 * poll):
			c.send([]byte(piece))
		}
	}
}

func TestLargeBodiesThatStopBeforeTheirEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { sendBody(c, "", maxBody, maxBody-1) })
}

func TestLargeBodiesWithoutRoute(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) {
		head := strings.Replace(c.head(""), "/x/1", "/none/1", 1)
		if c.send([]byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))) {
			c.send(make([]byte, maxBody-1))
		}
	})
}

// sendBody sends a request with a body of which only some bytes are sent.
func sendBody(c *client, lines string, length, sent int) bool {
	return c.send([]byte(c.head(lines)+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))) && c.send(make([]byte, sent))
}

func TestLargeBodiesByPieces(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) {
		if !sendBody(c, "", maxBody, 0) {
			return
		}
		const pieces = 64
		for range pieces - 1 {
			if !c.send(make([]byte, maxBody/pieces)) {
				return
			}
		}
	})
}

func TestLargeBodiesInChunks(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { sendChunks(c, 16<<10, maxBody) })
}

func TestBodiesInChunksOfOneByte(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { sendChunks(c, 1, 512<<10) })
}

// sendChunks sends a body of a total length in chunks of one size, without the last chunk.
func sendChunks(c *client, size, total int) bool {
	if !c.send([]byte(c.head("Transfer-Encoding: chunked\r\n\r\n"))) {
		return false
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	atOnce := max(1, 64<<10/size)
	block := []byte(strings.Repeat(chunk, atOnce))
	for range total / size / atOnce {
		if !c.send(block) {
			return false
		}
	}
	return true
}

// Callers may send a request again that was refused so, even where it must run only once.
func TestRefusedLargeBodiesHaveNotRun(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) {
		if !sendBody(c, "", maxBody, maxBody) {
			return
		}
		switch status := c.status(bufio.NewReader(c)); status {
		case http.StatusOK, 0:
		case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if s.server.received(c.id) {
				t.Errorf("a request that ran was refused with %d", status)
			}
		default:
			t.Errorf("status %d", status)
		}
	})
}

func TestBodiesOverTheLimit(t *testing.T) {
	const length = 16<<20 - 1
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) { sendBody(c, "", length, length) })
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	s := newSystem(t)
	for _, chunked := range []bool{false, true} {
		status := 0
		crowd := gather(t, s.front(), 1, func(c *client) {
			if chunked {
				sendChunks(c, 16<<10, maxBody+64<<10)
			} else {
				sendBody(c, "", maxBody+1, maxBody+1)
			}
			status = c.status(bufio.NewReader(c))
		})
		require.Equal(t, http.StatusRequestEntityTooLarge, status, "chunked: %t", chunked)
		require.False(t, s.server.received(crowd[0].id))
	}
}

func TestTrailersWithoutEnd(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients/2, s.isServed, func(c *client) {
		if c.send([]byte(c.head("Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"))) {
			c.send([]byte(fill("a:\r\n", 60_000)))
		}
	})
}

// The memory for a body was allocated when its length was announced.
func TestClaimedBodies(t *testing.T) {
	for name, lines := range map[string]string{"first byte": "", "expect": "Expect: 100-continue\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			withstands(t, s.entry, s.front(), 2*fewClients, s.isServed, func(c *client) { sendBody(c, lines, maxBody, 1) })
		})
	}
}

func TestAnswersThatNobodyReads(t *testing.T) {
	const requests = 200
	s := newSystem(t)
	withstands(t, s.entry, s.front(), manyClients, s.isServed, func(c *client) {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write([]byte(strings.Repeat(c.head("Content-Length: 0\r\n\r\n"), requests)))
	})
}

// An answer was no longer counted when it was about to be written.
func TestLargeAnswersThatNobodyReads(t *testing.T) {
	s := newSystem(t)
	withstands(t, s.entry, s.front(), fewClients, s.isServed, func(c *client) {
		c.send([]byte(strings.Replace(c.head("Content-Length: 0\r\n\r\n"), "/x/1", largeAnswer, 1)))
		// The first byte shows that the entry has the answer, or refuses it.
		_ = c.SetReadDeadline(time.Now().Add(wait / 4))
		_, _ = c.Read(make([]byte, 1))
	})
}

// What is decoded from a document took many times its length.
func TestDocumentsOfManyItems(t *testing.T) {
	const clients, length = 4, 512 << 10
	for name, document := range map[string]string{
		"empty routes":  `{"version":9,"routes":[` + fill("{},", length) + `{}]}`,
		"wrong routes":  `{"version":9,"routes":[` + fill("0,", length) + `0]}`,
		"null services": `{"version":9,"services":[` + fill("null,", length) + `null]}`,
		"keys":          `{"version":9,"tenants":[{"name":"a","apiKeys":[` + fill(`"",`, length) + `""]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			withstands(t, s.control, s.operator(), clients, endpoints[len(endpoints)-1].isAnswered(s), func(c *client) { c.post("/Config.Replace", document) })
		})
	}
}

func TestHeartbeatsOfManyItems(t *testing.T) {
	const clients, length = 16, 4 << 20
	s := newSystem(t)
	withstands(t, s.control, s.operator(), clients, endpoints[len(endpoints)-1].isAnswered(s), func(c *client) {
		c.post("/Instances.Heartbeat/"+c.id, fmt.Sprintf(`{"service":"s1","address":"127.0.0.1:1","zone":"z1","state":"ready","slots":1,"sequence":1,"born":%d,
 "stage":"colocated","domain":"d","staged":[%s""]}`, time.Now().UnixMilli(), fill(`"",`, length)))
	})
}

// post sends a call with a body and reads its answer.
func (c *client) post(path, body string) {
	if c.send([]byte(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body))) {
		_ = c.status(bufio.NewReader(c))
	}
}

// A daemon ended when it could open no more descriptors.
func TestConnectionsOverTheDescriptorLimit(t *testing.T) {
	const clients = 2 * descriptorLimit
	for name, text := range map[string]string{"idle": "", "one byte": "P"} {
		t.Run(name, func(t *testing.T) {
			for _, d := range endpoints {
				t.Run(d.name, func(t *testing.T) {
					s := newSystem(t)
					withstands(t, d.daemon(s), d.address(s), clients, d.isAnswered(s), func(c *client) { c.send([]byte(text)) })
				})
			}
		})
	}
}

// Links between daemons have an address of their own, which callers may find.
func TestLinkAddressOverTheDescriptorLimit(t *testing.T) {
	for name, text := range map[string]string{"idle": "", "one byte": "P", "bytes without end": fill("x", 64<<10)} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			play := func(c *client) { c.send([]byte(text)) }
			control := endpoints[len(endpoints)-1]
			withstands(t, s.entry, s.address(hostEntry, portPeer), 2*descriptorLimit, s.isServed, play)
			withstands(t, s.control, s.address(hostControl, portPeer), 2*descriptorLimit, control.isAnswered(s), play)
		})
	}
}

// The listener for links ended for good when accept found no descriptor, and the daemon went on
// without links.
func TestLinksReturnAfterTheLackOfDescriptors(t *testing.T) {
	s := newSystem(t)
	for _, d := range []struct {
		*daemon
		host int
	}{{s.entry, hostEntry}, {s.control, hostControl}} {
		d.limitDescriptors(uint64(d.descriptors()))
		crowd := gather(t, s.address(d.host, portPeer), fewClients, func(*client) {})
		for _, c := range crowd {
			require.True(t, c.isClosed(), "closed by the daemon, or by the end of its listener")
		}
		d.limitDescriptors(descriptorLimit)
		d.awaitAnswer(s.isServed, "after the lack of descriptors")
		require.Eventually(t, func() bool {
			conn, err := net.Dial("tcp", s.address(d.host, portPeer))
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		}, wait, poll, "the address for links is open")
		d.check()
	}
}

func TestStopBesideACrowd(t *testing.T) {
	s := newSystem(t)
	gather(t, s.front(), manyClients/5, func(c *client) { c.send([]byte(c.head(""))) })
	gather(t, s.front(), manyClients/5, func(c *client) { sendBody(c, "", maxBody, 1) })
	for _, d := range []*daemon{s.entry, s.control} {
		gather(t, map[*daemon]string{s.entry: s.front(), s.control: s.operator()}[d], manyClients/5, func(*client) {})
		require.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
		select {
		case <-d.exited:
			require.True(t, d.cmd.ProcessState.Success(), "%s: %v", d.name, d.cmd.ProcessState)
		case <-time.After(wait):
			t.Fatalf("%s has not stopped", d.name)
		}
	}
}

// endpoint is an address on which a daemon takes connections.
type endpoint struct {
	name    string
	address func(s *system) string
	daemon  func(s *system) *daemon
	// method and path are those of an ordinary call, status its answer.
	method, path string
	body         string
	status       int
}

func entryOf(s *system) *daemon   { return s.entry }
func controlOf(s *system) *daemon { return s.control }

var endpoints = []endpoint{
	{"callers", (*system).front, entryOf, "", "", "", 0},
	{"directory", (*system).directory, entryOf, http.MethodGet, "/resolution?name=a.example&zone=z1", "", http.StatusOK},
	{"ready", (*system).ready, entryOf, http.MethodGet, "/ready", "", http.StatusOK},
	{"metrics", (*system).metrics, entryOf, http.MethodGet, "/metrics", "", http.StatusOK},
	{"forwarded", (*system).forward, entryOf, http.MethodPost, "/x/1", "x", http.StatusForbidden},
	{"control", (*system).operator, controlOf, http.MethodGet, "/Config.Get", "", http.StatusOK},
}

// isAnswered returns a function that makes an ordinary call.
func (d endpoint) isAnswered(s *system) func() bool {
	if d.method == "" {
		return s.isServed
	}
	return func() bool {
		status, _, err := call(d.method, "http://"+d.address(s)+d.path, []byte(d.body))
		return err == nil && status == d.status && s.isServed()
	}
}

// eachEndpoint plays a crowd at every endpoint but that of callers.
func eachEndpoint(t *testing.T, clients int, play func(c *client)) {
	for _, d := range endpoints[1:] {
		t.Run(d.name, func(t *testing.T) {
			s := newSystem(t)
			withstands(t, d.daemon(s), d.address(s), clients, d.isAnswered(s), play)
		})
	}
}

func TestOtherEndpointsWithClaimedBodies(t *testing.T) {
	eachEndpoint(t, 2*fewClients, func(c *client) { sendBody(c, "", maxBody, 1) })
}

func TestOtherEndpointsWithLargeBodies(t *testing.T) {
	const length = 16 << 20
	eachEndpoint(t, fewClients/2, func(c *client) { sendBody(c, "", length, length-1) })
}

func TestOtherEndpointsWithHeadsOfManyLines(t *testing.T) {
	eachEndpoint(t, manyClients, func(c *client) { c.send([]byte(c.head(fill("a:\r\n", headFill)))) })
}

func TestOtherEndpointsWithMultipartBodies(t *testing.T) {
	eachEndpoint(t, fewClients, func(c *client) {
		const length = 8 << 20
		if sendBody(c, "Content-Type: multipart/form-data; boundary=b\r\n", length, 0) {
			c.send([]byte("--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\n" + strings.Repeat("x", length/2)))
		}
	})
}

// A request inside the limits is served in calm, however much it takes.
func TestLargeRequestsInCalm(t *testing.T) {
	s := newSystem(t)
	for name, play := range map[string]func(c *client) bool{
		"head of many lines": func(c *client) bool {
			return c.send([]byte(c.head(fill("a:\r\n", headFill)) + "Content-Length: 0\r\n\r\n"))
		},
		"head by bytes": func(c *client) bool {
			for _, b := range []byte(c.head("Content-Length: 0\r\n\r\n")) {
				if !c.send([]byte{b}) {
					return false
				}
			}
			return true
		},
		"cookies": func(c *client) bool {
			return c.send([]byte(c.head("Cookie: " + fill("a;", headFill) + "a\r\nContent-Length: 0\r\n\r\n")))
		},
		"body":   func(c *client) bool { return sendBody(c, "", maxBody, maxBody) },
		"expect": func(c *client) bool { return sendBody(c, "Expect: 100-continue\r\n", 10, 10) },
		"chunks": func(c *client) bool { return sendChunks(c, 16<<10, maxBody) && c.send([]byte("0\r\n\r\n")) },
		"chunks of one byte and a trailer": func(c *client) bool {
			return sendChunks(c, 1, 64<<10) && c.send([]byte("0\r\nX-T: 1\r\n\r\n"))
		},
		"pieces": func(c *client) bool {
			const pieces = 8
			for i := range pieces {
				if i == 0 && !sendBody(c, "", maxBody, 0) || !c.send(make([]byte, maxBody/pieces)) {
					return false
				}
				time.Sleep(poll)
			}
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			gather(t, s.front(), 1, func(c *client) {
				r := bufio.NewReader(c)
				for range 3 {
					if !play(c) {
						t.Error("the daemon closed the connection")
						return
					}
					status := c.status(r)
					if status == http.StatusContinue {
						status = c.status(r)
					}
					if status != http.StatusOK {
						t.Errorf("status %d", status)
						return
					}
				}
			})
		})
	}
	s.entry.check()
}
