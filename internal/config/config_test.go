package config

import (
	"flag"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func setEnv(t *testing.T) {
	t.Helper()
	for _, name := range []string{"peer-secret", "operator-token", "backend-token"} {
		t.Setenv(EnvName(name), "0123456789abcdef-"+name)
	}
}

func parse(t *testing.T, args ...string) (*Serve, error) {
	t.Helper()
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	f := NewServeFlags(fs)
	require.NoError(t, fs.Parse(args))
	return f.Settings()
}

var validArgs = []string{"--name=e1", "--roles=control,entry", "--domain=d1", "--voters=e1=127.0.0.1:7100", "--data-dir=data"}

func TestValidSettings(t *testing.T) {
	setEnv(t)
	s, err := parse(t, validArgs...)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7100", s.PeerListen)
	require.Equal(t, "***", s.PeerSecret.String())
}

func TestPortZeroIsValid(t *testing.T) {
	setEnv(t)
	_, err := parse(t, append(append([]string{}, validArgs...), "--peer-listen=127.0.0.1:0", "--caller-listen=[::1]:0")...)
	require.NoError(t, err)
}

func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		fields []string
	}{
		{"no name", []string{"--name="}, []string{"name", "voters"}},
		{"unknown role", []string{"--roles=queen"}, []string{"roles[0]"}},
		{"port out of range", []string{"--peer-listen=127.0.0.1:70000"}, []string{"peer-listen"}},
		{"listen on a host name", []string{"--caller-listen=somewhere:7200"}, []string{"caller-listen"}},
		{"source with a port", []string{"--peer-source=127.0.0.1:1"}, []string{"peer-source"}},
		{"no data folder", []string{"--data-dir="}, []string{"data-dir"}},
		{"not a voter", []string{"--name=e9"}, []string{"voters"}},
		{"duplicate voter", []string{"--voters=e1=127.0.0.1:1,e1=127.0.0.1:2"}, []string{"voters"}},
		{"lease too short for renewal", []string{"--work-lease=1s"}, []string{"renew-interval"}},
		{"snapshots too small", []string{"--snapshot-bytes=65535"}, []string{"snapshot-bytes"}},
		{"order horizon below work lease", []string{"--order-horizon=2s"}, []string{"order-horizon"}},
		{"several faults", []string{"--max-body=1", "--log-level=loud", "--preset=x"}, []string{"log-level", "max-body", "preset"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			setEnv(t)
			_, err := parse(t, append(append([]string{}, validArgs...), c.args...)...)
			var invalid *Error
			require.True(t, errors.As(err, &invalid), "%v", err)
			fields := make([]string, 0, len(invalid.Faults))
			for _, f := range invalid.Faults {
				fields = append(fields, f.Field)
				require.NotEmpty(t, f.Bound)
			}
			require.Equal(t, c.fields, fields)
		})
	}
}

func TestSecretIsNeverShown(t *testing.T) {
	setEnv(t)
	t.Setenv(EnvName("peer-secret"), "short")
	_, err := parse(t, validArgs...)
	require.Error(t, err)
	require.NotContains(t, err.Error(), "short")
}

func TestFaultsNameValueAndBound(t *testing.T) {
	setEnv(t)
	t.Setenv(EnvName("operator-token"), "short")
	_, err := parse(t, "--name=e1", "--max-body=7", "--log-level=loud")
	require.Error(t, err)
	goldie.New(t).Assert(t, "faults", []byte(err.Error()))
}

func TestUsageGolden(t *testing.T) {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	NewServeFlags(fs)
	c := &ffcli.Command{Name: "serve", ShortUsage: "crocusway serve [flags]", ShortHelp: "run a daemon", FlagSet: fs}
	goldie.New(t).Assert(t, "usage", []byte(Usage(c)))
}
