package faults

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/errs"
)

// maskedString masks its value when formatted, like config.Secret.
type maskedString string

func (maskedString) String() string { return "***" }

type sample struct {
	Name   string       `json:"name" validate:"required,max=4"`
	Token  maskedString `json:"token" validate:"min=8"`
	Count  int          `json:"count" validate:"min=1"`
	Listen string       `json:"listen" validate:"listen_address"`
	Items  []string     `json:"items" validate:"max=1"`
}

func TestCheckNamesFieldValueAndBound(t *testing.T) {
	valid := sample{Name: "abcd", Token: "12345678", Count: 1, Listen: "[::1]:0"}
	cases := []struct {
		name   string
		change func(*sample)
		want   string
	}{
		{"valid", func(*sample) {}, ""},
		{"empty", func(s *sample) { s.Name = "" }, `name: value "", must be set`},
		{"long", func(s *sample) { s.Name = "abcde" }, `name: value "abcde", must be at most 4 characters`},
		{"secret", func(s *sample) { s.Token = "short" }, `token: value ***, must be at least 8 characters`},
		{"number", func(s *sample) { s.Count = 0 }, `count: value 0, must be at least 1`},
		{"address", func(s *sample) { s.Listen = "host:1" }, `listen: value "host:1", must be ip:port, port 0 to 65535`},
		{"list", func(s *sample) { s.Items = []string{"a", "b"} }, `items: value [a b], must be at most 1 items`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := valid
			c.change(&s)
			err := NewChecker("json").Check(s).Err("check sample", "peer-1")
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, errs.Invalid, errs.CodeOf(err))
			require.Equal(t, "check sample (peer peer-1): "+c.want, err.Error())
		})
	}
}

func TestLongValuesAreTruncated(t *testing.T) {
	var l List
	l.Add("name", string(make([]byte, 1000)), "short")
	require.Less(t, len(l[0].Value), 100)
}
