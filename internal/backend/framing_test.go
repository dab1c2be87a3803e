package backend

import (
	"bytes"
	"io"
	"net/http/httputil"
	"testing"

	"github.com/stretchr/testify/require"
)

// decodeAll feeds input in pieces of the given size and returns the body and whether
// it is complete.
func decodeAll(t *testing.T, length int, input []byte, piece int) ([]byte, bool, error) {
	t.Helper()
	d := newBodyDecoder(length)
	var body, buffered []byte
	for len(input) > 0 || len(buffered) > 0 {
		n := min(piece, len(input))
		buffered = append(buffered, input[:n]...)
		input = input[n:]
		for {
			part, consumed, err := d.decode(buffered)
			if err != nil {
				return body, d.done, err
			}
			body = append(body, part...)
			buffered = buffered[consumed:]
			if consumed == 0 {
				break
			}
		}
		if len(input) == 0 {
			break
		}
	}
	return body, d.done, nil
}

func TestBodyDecoderAtEverySplit(t *testing.T) {
	cases := []struct {
		name   string
		length int
		input  string
		body   string
		done   bool
	}{
		{"empty", 0, "", "", true},
		{"length", 5, "hello", "hello", true},
		{"length cut", 7, "hello", "hello", false},
		{"chunks", lengthChunked, "5\r\nhello\r\n6;x=1\r\n world\r\n0\r\n\r\n", "hello world", true},
		{"chunks with a trailer", lengthChunked, "1\r\na\r\n0\r\nX: y\r\n\r\n", "a", true},
		{"chunks with bare line ends", lengthChunked, "2\nab\n0\n\n", "ab", true},
		{"chunk cut", lengthChunked, "5\r\nhel", "hel", false},
		{"end missing", lengthChunked, "1\r\na\r\n", "a", false},
		{"trailer cut", lengthChunked, "1\r\na\r\n0\r\n", "a", false},
		{"until the end of the connection", lengthUntilClose, "all", "all", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for piece := 1; piece <= max(1, len(c.input)); piece++ {
				body, done, err := decodeAll(t, c.length, []byte(c.input), piece)
				require.NoError(t, err, "pieces of %d", piece)
				require.Equal(t, c.body, string(body), "pieces of %d", piece)
				require.Equal(t, c.done, done, "pieces of %d", piece)
			}
		})
	}
}

func TestBodyDecoderRefusesBrokenChunks(t *testing.T) {
	for _, input := range []string{"x\r\n", "-1\r\n", "1\r\nab\r\n", "\r\n\r\n", "ffffffffffffffffff\r\n"} {
		_, _, err := decodeAll(t, lengthChunked, []byte(input), len(input))
		require.ErrorIs(t, err, ErrMalformed, "%q", input)
	}
	_, _, err := decodeAll(t, lengthChunked, bytes.Repeat([]byte{'1'}, maxChunkLine+2), 4096)
	require.ErrorIs(t, err, ErrMalformed)
}

// FuzzBodyDecoder compares the decoder with the chunked writer of the standard library.
func FuzzBodyDecoder(f *testing.F) {
	f.Add([]byte("hello"), 3, 2)
	f.Add([]byte{}, 1, 1)
	f.Fuzz(func(t *testing.T, body []byte, chunk, piece int) {
		if chunk < 1 || piece < 1 || len(body) > 1<<16 {
			return
		}
		var wire bytes.Buffer
		w := httputil.NewChunkedWriter(&wire)
		for rest := body; len(rest) > 0; {
			n := min(chunk, len(rest))
			_, err := w.Write(rest[:n])
			require.NoError(t, err)
			rest = rest[n:]
		}
		require.NoError(t, w.Close())
		_, _ = wire.WriteString("\r\n")
		got, done, err := decodeAll(t, lengthChunked, wire.Bytes(), piece)
		require.NoError(t, err)
		require.True(t, done)
		require.Equal(t, string(body), string(got))
		require.Equal(t, io.ErrUnexpectedEOF, (&bodyDecoder{chunked: true}).errorAtEOF())
	})
}
