package backend

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func validAnnouncement() api.Announcement {
	return api.Announcement{
		Version: 1, Host: "h1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:8000",
		Kind: api.BackendEngine, Fabric: "f1", Domain: "d1", Accelerators: 8,
	}
}

func TestAnnouncementContract(t *testing.T) {
	cases := map[string]struct {
		change   func(*api.Announcement)
		problems []string
	}{
		"engine":            {func(*api.Announcement) {}, nil},
		"service":           {func(a *api.Announcement) { a.Kind, a.Service, a.Fabric = api.BackendService, "orders", "" }, nil},
		"version":           {func(a *api.Announcement) { a.Version = 2 }, []string{"version: value 2, must be 1"}},
		"no host":           {func(a *api.Announcement) { a.Host = "" }, []string{`host: value "", must be set`}},
		"long host":         {func(a *api.Announcement) { a.Host = api.HostID(strings.Repeat("h", 65)) }, []string{"must be at most 64 characters"}},
		"no incarnation":    {func(a *api.Announcement) { a.Incarnation = 0 }, []string{"incarnation: value 0, must be at least 1"}},
		"no sequence":       {func(a *api.Announcement) { a.Sequence = 0 }, []string{"sequence: value 0, must be at least 1"}},
		"address":           {func(a *api.Announcement) { a.Address = "127.0.0.1" }, []string{`address: value "127.0.0.1", must be host:port`}},
		"kind":              {func(a *api.Announcement) { a.Kind = "proxy" }, []string{`kind: value "proxy", must be one of engine service`}},
		"engine, no fabric": {func(a *api.Announcement) { a.Fabric = "" }, []string{`fabric: value "", must be set with Kind engine`}},
		"service, no name":  {func(a *api.Announcement) { a.Kind = api.BackendService }, []string{`service: value "", must be set with Kind service`}},
		"rank":              {func(a *api.Announcement) { a.Rank = 16 }, []string{"rank: value 16, must be at most 15"}},
		"load":              {func(a *api.Announcement) { a.Load = "half" }, []string{`load: value "half", must be one of idle loading ready`}},
		"negative load":     {func(a *api.Announcement) { a.Running = -1 }, []string{"running: value -1, must be at least 0"}},
		"several": {
			func(a *api.Announcement) { a.Domain, a.Queued, a.Accelerators = "", -1, 65 },
			[]string{`domain: value "", must be set`, "queued: value -1, must be at least 0", "accelerators: value 65, must be at most 64"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := validAnnouncement()
			c.change(&a)
			raw, err := json.Marshal(a)
			require.NoError(t, err)
			got, err := DecodeAnnouncement(raw)
			if c.problems == nil {
				require.NoError(t, err)
				require.Equal(t, a, got)
				return
			}
			require.Equal(t, errs.Invalid, errs.CodeOf(err))
			for _, problem := range c.problems {
				require.ErrorContains(t, err, problem)
			}
		})
	}
}

func TestAnnouncementBytes(t *testing.T) {
	good, err := json.Marshal(validAnnouncement())
	require.NoError(t, err)
	cases := map[string]string{
		"empty":          "",
		"truncated":      string(good[:len(good)-1]),
		"unknown field":  strings.Replace(string(good), `{`, `{"more":1,`, 1),
		"trailing bytes": string(good) + "{}",
		"wrong type":     `{"version":"1"}`,
		"oversized":      string(good) + strings.Repeat(" ", MaxAnnouncement),
		"negative":       `{"version":1,"incarnation":-1}`,
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeAnnouncement([]byte(raw))
			require.Equal(t, errs.Invalid, errs.CodeOf(err))
		})
	}
}

func FuzzDecodeAnnouncement(f *testing.F) {
	good, _ := json.Marshal(validAnnouncement())
	f.Add(good)
	f.Add([]byte(`{"version":1,"kind":"service"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, err := DecodeAnnouncement(raw)
		if err != nil {
			require.Equal(t, errs.Invalid, errs.CodeOf(err))
			return
		}
		require.NoError(t, ValidateAnnouncement(a))
		require.NotEmpty(t, a.Host)
		require.Contains(t, []api.BackendKind{api.BackendEngine, api.BackendService}, a.Kind)
	})
}
