package cataloguer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/cataloguer"
)

// Guards against a host that replaces its configuration by an older one, such as one from a late response of the store.
func TestRevisionNeverGoesBack(t *testing.T) {
	c := cataloguer.New(cataloguer.Config{})
	changes := c.Subscribe()
	require.False(t, c.Ready())
	require.True(t, c.Apply(&codec.Catalogue{Revision: 7}))
	require.False(t, c.Apply(&codec.Catalogue{Revision: 7}))
	require.False(t, c.Apply(&codec.Catalogue{Revision: 3}))
	require.True(t, c.Apply(&codec.Catalogue{Revision: 9}))
	require.EqualValues(t, 9, c.Current().Revision)
	require.EqualValues(t, 9, (<-changes).Revision, "a slow subscriber must receive the newest catalogue")
}
