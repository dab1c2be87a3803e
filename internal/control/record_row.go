package control

import "github.com/crocusway/crocusway/internal/api"

// recordRow is the encoding of a record in a snapshot. It is an array instead
// of a map with field names, because records are by far the most numerous rows.
type recordRow struct {
	_                 struct{} `cbor:",toarray"`
	Account           api.AccountID
	Key               string
	BodyHash          string
	Request           api.RequestID
	Entry             api.EntryID
	Incarnation       api.Incarnation
	State             api.RecordState
	Status            int
	ContentType       string
	Body              []byte
	ExpiresUnixMillis int64
}

func (r *recordRow) record() *api.Record {
	return &api.Record{
		Account:           r.Account,
		Key:               r.Key,
		BodyHash:          r.BodyHash,
		Request:           r.Request,
		Entry:             r.Entry,
		Incarnation:       r.Incarnation,
		State:             r.State,
		Status:            r.Status,
		ContentType:       r.ContentType,
		Body:              r.Body,
		ExpiresUnixMillis: r.ExpiresUnixMillis,
	}
}

// recordRows returns the encoded form of records.
func recordRows(records []*api.Record) []recordRow {
	out := make([]recordRow, 0, len(records))
	for _, r := range records {
		out = append(out, recordRow{
			Account:           r.Account,
			Key:               r.Key,
			BodyHash:          r.BodyHash,
			Request:           r.Request,
			Entry:             r.Entry,
			Incarnation:       r.Incarnation,
			State:             r.State,
			Status:            r.Status,
			ContentType:       r.ContentType,
			Body:              r.Body,
			ExpiresUnixMillis: r.ExpiresUnixMillis,
		})
	}
	return out
}
