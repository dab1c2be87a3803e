package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// answerOf returns the answer to a request, which every server gives alike.
func answerOf(k kind, path, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path+"\n"+body)
	word := strconv.FormatUint(h.Sum64(), 36)
	s := shapeOf(path)
	if k != kindStream {
		return word + strings.Repeat("-", 200+s.bytes)
	}
	padding := strings.Repeat("-", s.bytes)
	var b strings.Builder
	for i := range s.events {
		b.WriteString(eventOf(word+padding, i+1))
	}
	return b.String()
}

func eventOf(word string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, word, i) }

func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.Set(headerNotExecuted, "1")
	ctx.SetStatusCode(status)
}

// serve runs a request of a caller.
func (s *server) serve(ctx *fasthttp.RequestCtx, k fault) {
	h := &ctx.Request.Header
	id, path, body := string(h.Peek(headerID)), string(ctx.Path()), string(ctx.PostBody())
	ctx.Response.Header.Set(headerID, id)
	// Taken before the first byte of an answer can reach the caller.
	s.mu.Lock()
	status, late := s.admit()
	s.mu.Unlock()
	// A faulty server may send no answer that tells an entry anything.
	busy := s.notice(ctx, id, time.Now(), k == faultNone, status == 0)
	switch {
	case status != 0:
		refuse(ctx, status)
		return
	case busy:
		refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	if late && s.planned {
		s.oracle.violation("DRAIN: %s receives request %s over %s after its departure was acknowledged", s.id, id, drainTime)
	}
	s.oracle.running(s.id, id, path, body, string(h.Peek(headerAccount)), string(h.Peek(headerKey)))
	misbehave := rand.IntN(4) == 0
	switch {
	case k == faultEndless:
		s.sendEndlessly(ctx)
		return
	case k == faultLost && misbehave:
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set(headerSeal, "sealed-by-"+s.id)
	s.nameLimit(ctx, time.Now())
	if s.engine {
		poison := s.poisonOf(string(h.Peek(headerPrompt)))
		if poison != "" {
			s.oracle.reached(poison, id, s.planned)
		}
		s.stream(ctx, answerOf(kindStream, path, body), k == faultGarble && misbehave, poison)
		return
	}
	time.Sleep(shapeOf(path).wait)
	answer := answerOf(kindSafe, path, body)
	if k == faultGarble && misbehave {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sealed-by-%s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, s.id, len(answer), answer[:20])
		})
		return
	}
	s.oracle.finished(id)
	ctx.SetBodyString(answer)
}

// admit returns the status with which the server refuses a request, or 0, and whether
// the request comes too late for a server that leaves. fleet.mu is held.
func (s *server) admit() (status int, late bool) {
	late = !s.drainAcknowledged.IsZero() && time.Since(s.drainAcknowledged) > drainTime+drainSlack
	if !s.engine {
		return 0, late
	}
	g := s.group
	switch {
	case g == nil || g.State != "open" && g.Rank == 0:
		return fasthttp.StatusServiceUnavailable, false
	case g.Rank != 0:
		return fasthttp.StatusMisdirectedRequest, false
	}
	s.checkWhole(g)
	return 0, late
}

// drainSlack allows for requests that were on their way.
const drainSlack = 500 * time.Millisecond

// checkWhole checks that every member of a group was ready in it. fleet.mu is held.
func (s *server) checkWhole(g *membership) {
	if len(g.members) != engineHosts {
		s.oracle.violation("PARTIAL: a request runs in %s of %d members", g.key(), len(g.members))
	}
	for _, id := range g.members {
		if !s.everReady[id][g.key()] {
			s.oracle.violation("PARTIAL: a request runs in %s, whose member %s was never ready", g.key(), id)
		}
	}
}

// sendEndlessly sends bytes that are no answer until the caller closes the connection.
func (s *server) sendEndlessly(ctx *fasthttp.RequestCtx) {
	garbage := bytes.Repeat([]byte("no answer\r\n"), 100)
	if rand.IntN(2) == 0 {
		garbage = bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), 50)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		for {
			if _, err := c.Write(garbage); err != nil {
				return
			}
		}
	})
}

// stream writes the events after the caller's last one. It stands still while a member of
// the replica is lost, and breaks off with it. A poisoned one crashes the server.
func (s *server) stream(ctx *fasthttp.RequestCtx, answer string, cut bool, poison string) {
	ctx.SetContentType("text/event-stream")
	after, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerLastEvent)))
	shape := shapeOf(string(ctx.Path()))
	events := strings.SplitAfter(answer, "\n\n")[:shape.events]
	conn := ctx.Conn()
	id := string(ctx.Request.Header.Peek(headerID))
	crashAfter := rand.IntN(maxPoisonEvents)
	s.mu.Lock()
	group := s.group
	s.streams++
	run := runMark(fmt.Sprintf("%s/%d", s.id, s.streams), after)
	s.mu.Unlock()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := after; i < len(events); i++ {
			if cut && i == len(events)/2 {
				_, _ = w.WriteString(run[:4])
				_ = w.Flush()
				_ = conn.Close()
				return
			}
			time.Sleep(shape.pause)
			s.fallSilent(id, i)
			if poison != "" && i-after == crashAfter {
				s.oracle.crashed(poison)
				s.crash()
			}
			if !s.awaitProgress(group) {
				s.oracle.brokeOff(id)
				_ = conn.Close()
				return
			}
			_, _ = w.WriteString(run + events[i])
			if w.Flush() != nil {
				return
			}
		}
		s.oracle.finished(id)
	})
}

// awaitProgress waits while a member of the replica is lost. It returns false once the
// replica is broken, has another group, or is dead.
func (s *server) awaitProgress(g *membership) bool {
	for {
		s.mu.Lock()
		gone := s.group != g || g.State != "open" || s.fault == faultHang || s.fault == faultClose
		progress := !gone && s.breakIfIncomplete()
		s.mu.Unlock()
		switch {
		case progress:
			return true
		case gone:
			return false
		}
		select {
		case <-s.stop:
			return false
		case <-time.After(eventPause):
		}
	}
}
