package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// byteSource is a frameSource over a slice.
type byteSource struct{ b []byte }

func (s *byteSource) Peek(n int) ([]byte, error) {
	if n > len(s.b) {
		return nil, io.ErrShortBuffer
	}
	return s.b[:n], nil
}

func (s *byteSource) Discard(n int) (int, error) {
	s.b = s.b[n:]
	return n, nil
}

func (s *byteSource) InboundBuffered() int { return len(s.b) }

func FuzzFrameDecoder(f *testing.F) {
	f.Add(appendFrame(nil, []byte("{}")))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 9, '{'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 64
		src := &byteSource{b: b}
		var rebuilt []byte
		for {
			payload, err := nextFrame(src, limit)
			if err != nil {
				if !errors.Is(err, errFrameSize) && !errors.Is(err, errFrameEmpty) {
					t.Fatal(err)
				}
				return
			}
			if payload == nil {
				break
			}
			if len(payload) > limit {
				t.Fatalf("payload of %d bytes", len(payload))
			}
			rebuilt = appendFrame(rebuilt, payload)
		}
		if !bytes.Equal(append(rebuilt, src.b...), b) {
			t.Fatal("frames do not add up to the input")
		}
	})
}

func FuzzMessageDecoder(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"a","params":{},"meta":{"timeout_millis":1}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":"x","result":null}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"error":{"code":1,"message":"m","data":{}}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"a"} x`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			return
		}
		if (m.request == nil) == (m.response == nil) {
			t.Fatal("want exactly one kind")
		}
		if m.request != nil && m.request.Method == "" {
			t.Fatal("request without a method")
		}
		if m.timeout < 0 {
			t.Fatal("negative timeout")
		}
		if r := m.response; r != nil && r.Error != nil {
			if decodeError(r.Error, "peer").Code == "" {
				t.Fatal("error without a code")
			}
		}
	})
}

func FuzzHandshake(f *testing.F) {
	h := newHandshake(testSecret)
	open, _ := h.start()
	f.Add(open[frameHeader:], open[frameHeader:])
	f.Fuzz(func(t *testing.T, first, second []byte) {
		h := newHandshake(testSecret)
		if _, err := h.acceptorStep(first); err != nil {
			return
		}
		if _, err := h.acceptorStep(second); err == nil {
			t.Fatal("accepted without the secret")
		}
	})
}
