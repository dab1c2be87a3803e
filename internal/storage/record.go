package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
)

// A record is: length of the payload (4 bytes), CRC-32C of length and payload
// (4 bytes), payload; numbers are big-endian. The payload is one CBOR record.
const (
	recordHeader = 8
	// maxRecord limits the payload of a record in bytes.
	maxRecord = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errShortRecord = errors.New("record is truncated")
	errChecksum    = errors.New("record checksum mismatch")
)

// record is the payload of one record. Exactly one field is set.
type record struct {
	Header   *segmentHeader      `cbor:"1,keyasint,omitempty"`
	Batch    *batch              `cbor:"2,keyasint,omitempty"`
	Snapshot *consensus.Snapshot `cbor:"3,keyasint,omitempty"`
	Identity *Identity           `cbor:"4,keyasint,omitempty"`
}

// segmentHeader is the first record of a log segment.
type segmentHeader struct {
	Version   int                 `cbor:"1,keyasint"`
	Sequence  uint64              `cbor:"2,keyasint"`
	HardState consensus.HardState `cbor:"3,keyasint"`
	// Base is the index of the newest snapshot when the segment was created.
	Base uint64 `cbor:"4,keyasint"`
	// Reset is set when the log before this segment is discarded.
	Reset bool `cbor:"5,keyasint,omitempty"`
}

// batch holds what one Save makes durable.
type batch struct {
	HardState consensus.HardState `cbor:"1,keyasint"`
	Entries   []consensus.Entry   `cbor:"2,keyasint,omitempty"`
}

// Identity names the owner of a data folder.
type Identity struct {
	Version     int             `cbor:"1,keyasint"`
	Voter       api.VoterID     `cbor:"2,keyasint"`
	Incarnation api.Incarnation `cbor:"3,keyasint"`
}

// formatVersion is the version of the files that this package writes.
const formatVersion = 1

// encodeRecord returns the framed record.
func encodeRecord(r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxRecord {
		return nil, errors.Newf("record of %d bytes is too large", len(payload))
	}
	size := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	buf := make([]byte, 0, recordHeader+len(payload))
	buf = append(buf, size...)
	buf = binary.BigEndian.AppendUint32(buf, checksum(size, payload))
	return append(buf, payload...), nil
}

func checksum(size, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(size, castagnoli), castagnoli, payload)
}

// parseFrame checks the first record of data and returns its payload and its
// total size in bytes.
func parseFrame(data []byte) (payload []byte, size int, err error) {
	if len(data) < recordHeader {
		return nil, 0, errShortRecord
	}
	length := binary.BigEndian.Uint32(data)
	if length == 0 || length > maxRecord {
		return nil, 0, errChecksum
	}
	size = recordHeader + int(length)
	if size > len(data) {
		return nil, 0, errShortRecord
	}
	payload = data[recordHeader:size]
	if checksum(data[:4], payload) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0, errChecksum
	}
	return payload, size, nil
}

// decodeRecord decodes the first record of data.
func decodeRecord(data []byte) (r record, size int, err error) {
	payload, size, err := parseFrame(data)
	if err != nil {
		return record{}, 0, err
	}
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return record{}, 0, err
	}
	return r, size, nil
}

var decMode = newDecMode()

// newDecMode raises the limit on array elements, because a batch may be large.
func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// validRecordAfter reports whether any complete record starts in data after its
// first byte. If so, corruption before that record is not a torn tail.
func validRecordAfter(data []byte) bool {
	for i := 1; i+recordHeader <= len(data); i++ {
		if _, _, err := parseFrame(data[i:]); err == nil {
			return true
		}
	}
	return false
}
