package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawEntry answers each connection with the bytes of a response, and then closes it.
func rawEntry(t *testing.T, response string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String()
}

const rawHead = "HTTP/1.1 200 OK\r\nCrocusway-Outcome: complete\r\n"

// TestBrokenAnswerIsNoAnswer guards against answers that are no HTTP, and parts that pass as whole.
func TestBrokenAnswerIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":        strings.Replace(rawHead, "200", "000", 1) + "Content-Length: 2\r\n\r\nok",
		"status 600":        strings.Replace(rawHead, "200", "600", 1) + "Content-Length: 2\r\n\r\nok",
		"blank in a name":   rawHead + "X Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank after":       rawHead + "X : 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte":      rawHead + "X\x01: 1\r\nContent-Length: 2\r\n\r\nok",
		"folded length":     rawHead + "X: 1\r\n Content-Length: 9\r\n\r\nok",
		"until close":       rawHead + "\r\nok",
		"stream, no length": rawHead + "Content-Type: text/event-stream\r\n\r\n" + event("a") + "data: [DONE]\n\n",
		"chunks in 1.0":     strings.Replace(rawHead, "1.1", "1.0", 1) + "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"cut":               rawHead + "Content-Length: 3\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Pinned("key", rawEntry(t, response)).Service(t.Context(), "POST", "ledger", "/x", "", nil)
			require.Error(t, err)
		})
	}
	for name, response := range map[string]string{
		"length": rawHead + "Content-Length: 2\r\n\r\nok",
		"chunks": rawHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answer, err := Pinned("key", rawEntry(t, response)).Service(t.Context(), "POST", "ledger", "/x", "", nil)
			require.NoError(t, err)
			require.True(t, answer.IsComplete())
			require.Equal(t, "ok", string(answer.Body))
		})
	}
	for _, code := range []string{"204 No Content", "304 Not Modified"} {
		_, err := Pinned("key", rawEntry(t, "HTTP/1.1 "+code+"\r\n\r\n")).Service(t.Context(), "GET", "ledger", "/x", "", nil)
		require.NoError(t, err)
	}
	_, err := Pinned("key", rawEntry(t, rawHead+"\r\n")).Service(t.Context(), "HEAD", "ledger", "/x", "", nil)
	require.NoError(t, err)
}

func TestBrokenListOfEntriesIsNotUsed(t *testing.T) {
	list := list("127.0.0.1:1")
	sound := newEntry(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"field name": "HTTP/1.1 200 OK\r\nX Y: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			broken := rawEntry(t, head+"100\r\n"+list+strings.Repeat(" ", 0x100-len(list))+"\r\n0\r\n\r\n")
			answer, err := New("key", []string{broken, sound}).Chat(t.Context(), "m", "hello", 1)
			require.NoError(t, err, "the next entry is asked")
			require.Equal(t, http.StatusTeapot, answer.Status)
		})
	}
}
