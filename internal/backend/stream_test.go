package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/errs"
)

// readAll returns the offsets of the stream and its final error.
func readAll(s Stream) ([]int, error) {
	var offsets []int
	for {
		ev, err := s.Next()
		if err != nil {
			return offsets, err
		}
		if !ev.Done {
			offsets = append(offsets, ev.Offset)
		}
	}
}

// TestStreamContract covers valid and invalid streams of an engine.
func TestStreamContract(t *testing.T) {
	cases := map[string]struct {
		response string
		offset   int
		offsets  []int
		is       error
		code     errs.Code
		reused   bool
	}{
		"whole":           {response: token("r1", 1) + token("r1", 2) + done + lastChunk, offsets: []int{1, 2}, is: io.EOF, reused: true},
		"resumed":         {response: token("r1", 4) + done + lastChunk, offset: 3, offsets: []int{4}, is: io.EOF, reused: true},
		"without ids":     {response: chunk("data: a\n\ndata: b\n\n") + done + lastChunk, offsets: []int{1, 2}, is: io.EOF, reused: true},
		"no terminator":   {response: token("r1", 1) + lastChunk, offsets: []int{1}, is: io.ErrUnexpectedEOF},
		"cut":             {response: token("r1", 1) + closeConn, offsets: []int{1}, is: io.ErrUnexpectedEOF},
		"cut in event":    {response: token("r1", 1) + chunk("data: x") + closeConn, offsets: []int{1}, is: io.ErrUnexpectedEOF},
		"swapped id":      {response: token("r1", 1) + token("r2", 2), offsets: []int{1}, is: ErrWrongResponse, code: errs.Internal},
		"gap":             {response: token("r1", 1) + token("r1", 3), offsets: []int{1}, is: ErrMalformed, code: errs.Internal},
		"repeated":        {response: token("r1", 1) + token("r1", 1), offsets: []int{1}, is: ErrMalformed, code: errs.Internal},
		"wrong resume":    {response: token("r1", 1), offset: 3, is: ErrMalformed, code: errs.Internal},
		"bad id":          {response: chunk("id: 5\ndata: x\n\n"), is: ErrMalformed, code: errs.Internal},
		"oversized event": {response: chunk("data: " + strings.Repeat("x", 300) + "\n\n"), is: ErrTooLarge, code: errs.Internal},
		"error event":     {response: token("r1", 1) + chunk("event: error\ndata: out of memory\n\n"), offsets: []int{1}, code: errs.Internal},
		"more after end":  {response: done + chunk("data: x\n\n") + lastChunk, is: io.EOF},
		"end not closed":  {response: done + keepOpen, is: io.EOF},
		"stalled":         {response: token("r1", 1) + keepOpen, offsets: []int{1}, code: errs.Timeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(int) string { return streamHead("{id}") + c.response })
			client := testClient(t, func(cfg *Config) {
				cfg.MaxEvent = 256
				if c.code == errs.Timeout {
					cfg.StallTimeout = 50 * time.Millisecond
				}
			})
			r := engineRequest(s.addr())
			r.Offset = c.offset
			response, err := client.Do(t.Context(), r)
			require.NoError(t, err)
			offsets, err := readAll(response.Stream)
			require.Equal(t, c.offsets, offsets)
			if c.is != nil {
				require.ErrorIs(t, err, c.is)
			}
			if c.code != "" {
				require.Equal(t, c.code, errs.CodeOf(err), "%v", err)
			}
			_, again := response.Stream.Next()
			require.Equal(t, err, again)
			require.NoError(t, response.Stream.Close())
			require.NoError(t, response.Stream.Close())

			response, err = client.Do(t.Context(), r)
			require.NoError(t, err)
			require.NoError(t, response.Stream.Close())
			require.Equal(t, c.reused, s.conns.Load() == 1)
		})
	}
}

// TestBrokenStreamIsRefused covers streams that are no HTTP/1.1.
func TestBrokenStreamIsRefused(t *testing.T) {
	const events = "data: a\n\ndata: [DONE]\n\n"
	head := func(status string) string { return strings.Replace(streamHead("r1"), "200 OK", status, 1) }
	for name, response := range map[string]string{
		"status 000":         head("000 OK") + chunk(events) + lastChunk,
		"status 999":         head("999 X") + chunk(events) + lastChunk,
		"blank in a name":    strings.Replace(streamHead("r1"), "Transfer", "X Y: 1\r\nTransfer", 1) + chunk(events) + lastChunk,
		"signed chunk":       streamHead("r1") + "+" + chunk(events) + lastChunk,
		"chunks in 1.0":      strings.Replace(streamHead("r1"), "HTTP/1.1", "HTTP/1.0", 1) + chunk(events) + lastChunk + closeConn,
		"control in trailer": streamHead("r1") + chunk("data: a\n\n") + "0\r\nX: \x00\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(int) string { return response })
			client := testClient(t, nil)
			response, err := client.Do(t.Context(), engineRequest(s.addr()))
			if err == nil {
				require.NotNil(t, response.Stream)
				_, err = readAll(response.Stream)
				require.NoError(t, response.Stream.Close())
			}
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF, "a whole stream")
			require.NotErrorIs(t, err, ErrNotSent)
			require.Nil(t, client.pool.pop(s.addr()), "connection returned to the pool")
		})
	}
}

// TestUnfinishedStreamIsNotReused closes a stream before its end.
func TestUnfinishedStreamIsNotReused(t *testing.T) {
	s := startScriptedServer(t, func(int) string {
		return streamHead("{id}") + token("r1", 1) + token("r1", 2) + done + lastChunk
	})
	client := testClient(t, nil)
	for range 2 {
		response, err := client.Do(t.Context(), engineRequest(s.addr()))
		require.NoError(t, err)
		_, err = response.Stream.Next()
		require.NoError(t, err)
		require.NoError(t, response.Stream.Close())
		_, err = response.Stream.Next()
		require.ErrorIs(t, err, io.ErrClosedPipe)
	}
	require.Equal(t, int64(2), s.conns.Load())
}

func TestSSEReader(t *testing.T) {
	cases := map[string]struct {
		in     string
		events []sseEvent
		err    error
	}{
		"LF":             {"id: 1\ndata: a\n\n", []sseEvent{{ID: "1", Data: []byte("a")}}, io.EOF},
		"CRLF":           {"id: 1\r\ndata: a\r\n\r\n", []sseEvent{{ID: "1", Data: []byte("a")}}, io.EOF},
		"CR":             {"id: 1\rdata: a\r\r", []sseEvent{{ID: "1", Data: []byte("a")}}, io.EOF},
		"comments":       {": hi\n\n:\ndata: a\n: there\n\n", []sseEvent{{Data: []byte("a")}}, io.EOF},
		"lines":          {"data: a\ndata\ndata: b\n\n", []sseEvent{{Data: []byte("a\n\nb")}}, io.EOF},
		"no space":       {"data:a\ndata:  b\n\n", []sseEvent{{Data: []byte("a\n b")}}, io.EOF},
		"name":           {"event: error\ndata: a\n\n", []sseEvent{{Name: "error", Data: []byte("a")}}, io.EOF},
		"unknown field":  {"retry: 5\nfoo: b\ndata: a\n\n", []sseEvent{{Data: []byte("a")}}, io.EOF},
		"without data":   {"id: 1\n\ndata: a\n\n", []sseEvent{{Data: []byte("a")}}, io.EOF},
		"empty data":     {"data:\n\n", []sseEvent{{}}, io.EOF},
		"two":            {"data: a\n\ndata: b\n\n", []sseEvent{{Data: []byte("a")}, {Data: []byte("b")}}, io.EOF},
		"truncated line": {"data: a", nil, io.ErrUnexpectedEOF},
		"not closed":     {"data: a\n", nil, io.EOF},
		"long line":      {"data: " + strings.Repeat("x", 70) + "\n\n", nil, ErrTooLarge},
		"many lines":     {strings.Repeat("data: xxxx\n", 7) + "\n", nil, ErrTooLarge},
		"many comments":  {strings.Repeat(": xxxxxxxx\n", 9), nil, ErrTooLarge},
		"empty":          {"", nil, io.EOF},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newSSEReader(bufio.NewReader(strings.NewReader(c.in)), 64)
			var events []sseEvent
			for {
				ev, err := r.next()
				if err != nil {
					require.ErrorIs(t, err, c.err)
					break
				}
				events = append(events, ev)
			}
			require.Equal(t, c.events, events)
		})
	}
}

func FuzzSSEReader(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n"), 3)
	f.Add([]byte(": c\n\ndata: a\ndata\n\n"), 1)
	f.Add([]byte("data: a\r\rdata: b\n"), 100)
	f.Fuzz(func(t *testing.T, b []byte, size int) {
		const limit = 64
		whole := newSSEReader(bufio.NewReader(bytes.NewReader(b)), limit)
		split := newSSEReader(bufio.NewReaderSize(&chunkedReader{b: b, size: size%16 + 1}, 16), limit)
		for {
			ev, err := whole.next()
			ev2, err2 := split.next()
			require.Equal(t, ev, ev2)
			require.Equal(t, errors.Is(err, ErrTooLarge), errors.Is(err2, ErrTooLarge))
			if err != nil {
				require.Error(t, err2)
				return
			}
			require.LessOrEqual(t, len(ev.Data)+len(ev.ID)+len(ev.Name), limit)
		}
	})
}

// chunkedReader returns a few bytes at a time.
type chunkedReader struct {
	b    []byte
	size int
}

func (r *chunkedReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(max(r.size, 1), len(p))], r.b)
	r.b = r.b[n:]
	return n, nil
}
