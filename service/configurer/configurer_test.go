package configurer_test

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/service/configurer"
)

var valid = []string{"celerygapd", "--host-id", "a", "--zone", "z", "--region", "r", "--store-url", "http://127.0.0.1:1"}

func parse(t *testing.T, args ...string) error {
	t.Helper()
	cmd := configurer.Command(func(context.Context, configurer.Config) error { return nil })
	return cmd.Run(t.Context(), append(slices.Clone(valid), args...))
}

// Guards against an invalid setting that starts the service, or whose error does not state its name and the accepted values.
func TestInvalidSettingsAreNamed(t *testing.T) {
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"--listen", "localhost"}, `--listen (CELERYGAP_LISTEN): "localhost" is not accepted; want IP:port`},
		{[]string{"--body-limit", "0"}, "--body-limit"},
		{[]string{"--memory-mb", "-1"}, "--memory-mb"},
		{[]string{"--max-fds", "-1"}, "--max-fds"},
		{[]string{"--log-level", "loud"}, "debug, info, warn or error"},
		{[]string{"--tls-cert", "x.pem"}, "--tls-key"},
		{[]string{"--no-such-flag"}, "no-such-flag"},
		{[]string{"extra"}, `unexpected argument "extra"`},
	}
	for _, c := range cases {
		err := parse(t, c.args...)
		var setting *configurer.SettingError
		require.ErrorAs(t, err, &setting, "%v", c.args)
		require.ErrorContains(t, err, c.want)
	}
}

// Guards against a misspelt environment variable that is ignored silently.
func TestUnknownEnvironmentVariableIsRefused(t *testing.T) {
	t.Setenv("CELERYGAP_LISTN", "127.0.0.1:1")
	err := parse(t)
	require.ErrorContains(t, err, "CELERYGAP_LISTN")
}

// Guards against an environment variable that does not set its flag.
func TestEnvironmentSetsFlags(t *testing.T) {
	t.Setenv("CELERYGAP_SUBSET_SIZE", "7")
	var got configurer.Config
	cmd := configurer.Command(func(_ context.Context, c configurer.Config) error {
		got = c
		return nil
	})
	require.NoError(t, cmd.Run(t.Context(), valid))
	require.Equal(t, 7, got.SubsetSize)
}
