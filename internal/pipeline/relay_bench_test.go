package pipeline

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// BenchmarkRelay measures the relay of one token from an engine through the server
// to a caller, over loopback. "lockstep" sends a token when the caller has
// received the previous one, "burst" sends as fast as the server reads.
func BenchmarkRelay(b *testing.B) {
	for _, name := range []string{"lockstep", "burst"} {
		b.Run(name, func(b *testing.B) {
			seen := make(chan struct{}, 1)
			engine := listenLocal(b)
			go runBenchEngine(engine, b.N, name == "lockstep", seen)
			h := newHarness(Settings{})
			h.server.cfg.Grants = unlimitedGrants{api.Grant{ID: "1", Group: "g1", Fencing: 3, Address: engine.Addr().String()}}
			client := backend.NewClient(backend.Config{})
			defer client.Close()
			h.server.cfg.Backends = client
			front := listenLocal(b)
			go func() { _ = h.server.HTTP().Serve(front) }()
			b.ReportAllocs()
			before := processTime(b)
			b.ResetTimer()
			require.Equal(b, b.N, readTokens(b, front.Addr().String(), seen))
			b.ReportMetric(float64(processTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processTime returns the CPU time of this process, which includes the engine and
// the caller of the benchmark.
func processTime(b *testing.B) time.Duration {
	var u unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func listenLocal(b *testing.B) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = ln.Close() })
	return ln
}

// runBenchEngine answers one request with n tokens.
func runBenchEngine(ln net.Listener, n int, lockstep bool, seen <-chan struct{}) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var req fasthttp.Request
	if req.Read(bufio.NewReader(conn)) != nil {
		return
	}
	id := string(req.Header.Peek(api.HeaderRequest))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", api.HeaderRequest, id)
	data := `{"id":"` + id + `","object":"chat.completion.chunk","model":"scribe-1","choices":[{"index":0,"delta":{"content":"a tin "},"finish_reason":null}]}`
	for i := 1; i <= n; i++ {
		event := "id: " + backend.EventID(api.RequestID(id), i) + "\ndata: " + data + "\n\n"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if lockstep {
			<-seen
		}
	}
	_, _ = fmt.Fprint(conn, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
	<-seen
}

// readTokens requests a stream and counts its tokens.
func readTokens(b *testing.B, address string, seen chan<- struct{}) int {
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"scribe-1","stream":true,"messages":[{"role":"user","content":"a tin"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	require.NoError(b, err)
	n := 0
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		switch {
		case strings.HasPrefix(lines.Text(), "data: [DONE]"):
			close(seen)
			return n
		case strings.HasPrefix(lines.Text(), "data: "):
			n++
			select {
			case seen <- struct{}{}:
			default:
			}
		}
	}
	require.ErrorIs(b, lines.Err(), io.EOF)
	return n
}
