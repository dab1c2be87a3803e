package intake

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const bodyOf = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"

func TestRequestIsChargedUntilItsAnswer(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	c := s.dial()
	s.held(func(u Usage) bool { return u.Connections == 1 && u.Bytes == connCost })
	c.send(fmt.Sprintf(bodyOf, 1<<20)).send(strings.Repeat("x", 1<<20-1))
	s.held(func(u Usage) bool { return u.Bytes > 1<<20 })
	c.send("x")
	status, closes := c.status()
	require.Equal(t, 200, status)
	require.False(t, closes)
	s.held(func(u Usage) bool { return u.Bytes < 64<<10 })
	require.NoError(t, c.Close())
	s.held(func(u Usage) bool { return u.Connections == 0 && u.Bytes == 0 })
}

func TestAnnouncedLengthIsNotCharged(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	s.dial().send(fmt.Sprintf(bodyOf, DefaultMaxBody)).send("x")
	s.held(func(u Usage) bool { return u.Bytes > connCost })
	time.Sleep(20 * time.Millisecond)
	require.Less(t, s.account.Usage().Bytes, int64(64<<10))
}

func TestSeparatorsOfHeadAreCharged(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000))
	s.held(func(u Usage) bool { return u.Bytes > 2900*separatorCost })
}

func TestRefusals(t *testing.T) {
	limits := Limits{MaxHead: 4 << 10, MaxBody: 1000, HeadTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond}
	chunk := "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"
	for name, tc := range map[string]struct {
		text   string
		status int
	}{
		"head over the limit":    {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 4<<10) + "\r\n\r\n", 431},
		"head at the limit":      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 3<<10) + "\r\n\r\n", 200},
		"body over the limit":    {fmt.Sprintf(bodyOf, 1001) + "x", 413},
		"body at the limit":      {fmt.Sprintf(bodyOf, 1000) + strings.Repeat("x", 1000), 200},
		"chunks over the limit":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "1\r\nx\r\n", 413},
		"chunks at the limit":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", 200},
		"head without end":       {"GET / HTTP/1.1\r\nHost: h\r\n", 408},
		"body without its end":   {fmt.Sprintf(bodyOf, 100) + "x", 408},
		"body without any byte":  {fmt.Sprintf(bodyOf, 100), 408},
		"no request":             {"no request\r\n\r\n", 400},
		"chunk that is no chunk": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, NewAccount(64<<20, 100), limits)
			status, closes := s.dial().send(tc.text).status()
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.status != 200, closes)
		})
	}
}

// A caller that is refused early goes on sending, and must not lose the answer to a reset.
func TestRefusedCallerReadsItsAnswer(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{MaxBody: 1000})
	for range 20 {
		c := s.dial().send(fmt.Sprintf(bodyOf, 2<<20))
		sent := make(chan error, 1)
		go func() {
			_, err := io.Copy(c.Conn, io.LimitReader(zeros{}, 2<<20))
			sent <- err
		}()
		require.NoError(t, <-sent)
		status, _ := c.status()
		require.Equal(t, 413, status)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestIdleConnectionIsClosed(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{IdleTimeout: 100 * time.Millisecond})
	require.True(t, s.dial().isClosed(), "no byte was ever sent")
	c := s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ := c.status()
	require.Equal(t, 200, status)
	require.True(t, c.isClosed())
}

func TestEmptyLinesAreNoRequest(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{HeadTimeout: 100 * time.Millisecond})
	require.True(t, s.dial().send("\r\n\r\n\r\n").isClosed())
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	var requests strings.Builder
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: 1\r\n\r\n"
	long := fmt.Sprintf(bodyOf, 100_000) + strings.Repeat("GET / HTTP/1.1\r\n\r\n\n;", 5000)
	for range 30 {
		requests.WriteString("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + fmt.Sprintf(bodyOf, 3) + "abc" + chunked + long)
	}
	c := s.dial()
	go func() { _, _ = c.Write([]byte(requests.String())) }()
	for range 4 * 30 {
		status, closes := c.status()
		require.Equal(t, 200, status)
		require.False(t, closes)
	}
}

func TestRequestSplitAnywhereIsServed(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	request := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	c := s.dial()
	for i := 1; i < len(request); i++ {
		c.send(request[:i])
		time.Sleep(time.Millisecond)
		c.send(request[i:])
		status, _ := c.status()
		require.Equal(t, 200, status, i)
	}
}

// The HTTP library kept the header lines of the largest request of a connection.
func TestHeaderLinesAreNotKept(t *testing.T) {
	s := serve(t, NewAccount(64<<20, 100), Limits{})
	c := s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n")
	status, _ := c.status()
	require.Equal(t, 200, status)
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ = c.status()
	require.Equal(t, 200, status)
	s.held(func(u Usage) bool { return u.Bytes < 64<<10 })
}

func TestUnreadAnswerEndsItsConnection(t *testing.T) {
	s := &served{t: t, account: NewAccount(64<<20, 100)}
	s.start(Config{
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(make([]byte, 32<<20)) },
		Account: s.account, WriteTimeout: 100 * time.Millisecond,
	})
	s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	s.held(func(u Usage) bool { return u.Connections == 1 })
	s.held(func(u Usage) bool { return u.Connections == 0 })
}

func TestConnectionOverTheLimitReplacesTheLongestIdle(t *testing.T) {
	account := NewAccount(64<<20, 10)
	s := serve(t, account, Limits{})
	served := s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ := served.status()
	require.Equal(t, 200, status)
	idle := make([]*caller, 0, account.maxConns)
	for range account.maxConns {
		idle = append(idle, s.dial())
		s.held(func(u Usage) bool { return u.Connections == min(len(idle)+1, account.maxConns) })
	}
	require.True(t, idle[0].isClosed(), "the one that has waited longest without a request")
	served.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ = served.status()
	require.Equal(t, 200, status)
}

func TestOrdinaryRequestsAreServedBesideSlowHeads(t *testing.T) {
	const slow = 200
	limits := Limits{HeadTimeout: time.Hour, BodyTimeout: time.Hour, IdleTimeout: time.Hour}
	s := serve(t, newTestAccount(2<<20), limits)
	limits.MaxHead = 64 << 10
	larger := serve(t, s.account, limits)
	for range slow {
		s.dial().send("P")
	}
	for range 20 {
		for _, to := range []*served{s, larger} {
			status, _ := to.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n").status()
			require.Equal(t, 200, status)
		}
	}
}

func TestBodyThatNeverFitsIsRefusedAtOnce(t *testing.T) {
	s := serve(t, newTestAccount(4<<20), Limits{MaxBody: 16 << 20})
	status, _ := s.dial().send(fmt.Sprintf(bodyOf, 4<<20) + "x").status()
	require.Equal(t, 503, status)
}

func TestReadBufferFollowsTheLimit(t *testing.T) {
	var maxHead atomic.Int64
	maxHead.Store(8 << 10)
	s := &served{t: t, account: NewAccount(64<<20, 100)}
	s.start(Config{
		Handler: func(*fasthttp.RequestCtx) {}, Account: s.account, MaxHead: 64 << 10,
		Limits: func() Limits { return Limits{MaxHead: int(maxHead.Load())} },
	})
	request := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	before := s.dial()
	status, _ := before.send(request(7 << 10)).status()
	require.Equal(t, 200, status)
	require.Less(t, s.account.Usage().Bytes, int64(64<<10))
	status, _ = s.dial().send(request(9 << 10)).status()
	require.Equal(t, 431, status)

	maxHead.Store(64 << 10)
	status, _ = s.dial().send(request(60 << 10)).status()
	require.Equal(t, 200, status)
	status, closes := before.send(request(60 << 10)).status()
	require.Equal(t, 503, status, "the caller may send it again")
	require.True(t, closes)
	status, _ = s.dial().send(request(70 << 10)).status()
	require.Equal(t, 431, status)
}

// A kept connection whose next request found no room was closed without an answer, after the
// request had been read.
func TestRequestWithoutRoomOnKeptConnectionIsAnswered(t *testing.T) {
	s := serve(t, newTestAccount(1<<20), Limits{})
	c := s.dial().send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ := c.status()
	require.Equal(t, 200, status)
	charged(t, s.account, stateBusy, s.account.largeLimit()-(200<<10))
	c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n")
	status, closes := c.status()
	require.Equal(t, 503, status)
	require.True(t, closes)
}
