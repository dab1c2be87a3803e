package backend

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// headerPieces are what headers are put together from, with what ends them in the middle.
var headerPieces = []string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 503 \r\n", "X: y\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n",
	"Connection: close\r\n", "X:", "Y", ":", " ", "\t", "\r", "\n", "\r\n", "\r\n\r\n", "\n\n", "\x00", "\xff", "0", "HTTP/1.",
}

// TestScannerAndLibraryReadTheSameHeader requires that a header that passes the scanner ends where
// the HTTP library, and the standard library, see its end, at whatever splits it arrives.
func TestScannerAndLibraryReadTheSameHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SampledFrom(headerPieces), 0, 6).Draw(t, "pieces")
		input := "HTTP/1.1 200 OK\r\n" + strings.Join(pieces, "") + "\r\n\r\nbody\r\n\r\n"
		var scanner headerScanner
		size, err := 0, error(nil)
		for at := 0; at <= len(input) && size == 0 && err == nil; at += rapid.IntRange(1, len(input)).Draw(t, "step") {
			size, err = scanner.scan([]byte(input[:at]))
		}
		whole, wholeErr := new(headerScanner).scan([]byte(input))
		if size == 0 && err == nil {
			size, err = scanner.scan([]byte(input))
		}
		require.Equal(t, whole, size)
		require.Equal(t, wholeErr == nil, err == nil)
		if err != nil {
			return
		}
		for _, text := range []string{input[:size], input} {
			reader := bufio.NewReader(strings.NewReader(text))
			var h fasthttp.ResponseHeader
			if err := h.Read(reader); err != nil {
				// A field that the scanner does not judge, such as two lengths.
				require.NotErrorIs(t, err, io.EOF, "the library waits for more: %q", text)
				return
			}
			require.Equal(t, len(text)-size, reader.Buffered(), "%q", text)
		}
		standard := bufio.NewReader(strings.NewReader(input[:size]))
		response, err := http.ReadResponse(standard, nil)
		require.NotErrorIs(t, err, io.ErrUnexpectedEOF, "%q", input[:size])
		if err == nil {
			_ = response.Body.Close()
			require.Zero(t, standard.Buffered(), "%q", input)
		}
	})
}
