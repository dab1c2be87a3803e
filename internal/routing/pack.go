package routing

import (
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// maxUnpackedBytes bounds the decompressed form of a publication and of its source.
const maxUnpackedBytes = 64 << 20

// The window is larger than the distance between similar routes, and small enough for
// hosts with little memory.
const windowBytes = 64 << 10

var compressor = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	if err != nil {
		panic(err)
	}
	return encoder
})

var decompressor = sync.OnceValue(func() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return decoder
})

// Compress returns the compressed form of a text.
func Compress(text []byte) []byte { return compressor().EncodeAll(text, nil) }

// Decompress returns the text that was compressed. An empty input is an empty text. It
// fails with errs.Invalid for other data and for a text of over 64 MiB.
func Decompress(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	text, err := decompressor().DecodeAll(data, nil)
	if err != nil {
		return nil, errs.New(errs.Invalid, "decompress publication", "", "%v", err)
	}
	return text, nil
}

// Pack compresses a publication.
func Pack(p *api.Publication) (api.PackedPublication, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return api.PackedPublication{}, errs.New(errs.Internal, "pack publication", "", "%w", err)
	}
	return api.PackedPublication{Version: p.Version, Data: Compress(text)}, nil
}

// Unpack is the inverse of Pack. It fails with errs.Invalid for data that Pack did not
// make.
func Unpack(packed api.PackedPublication) (*api.Publication, error) {
	const step = "unpack publication"
	text, err := Decompress(packed.Data)
	if err != nil {
		return nil, err
	}
	p := &api.Publication{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, errs.New(errs.Invalid, step, "", "%v", err)
	}
	if p.Version != packed.Version {
		return nil, errs.New(errs.Invalid, step, "", "version %d, want %d", p.Version, packed.Version)
	}
	return p, nil
}
