package updater

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
)

// Guards against an order that is sent after its lease has ended, because the process was paused between the command and
// the call; the engine must not be called.
func TestOrderIsNotSentAfterTheLease(t *testing.T) {
	defer asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("invariant %s: %s", name, text) })()
	u := &Updater{config: Config{CallTimeout: time.Second}}
	event := u.sendOrder(t.Context(), SendOrder{Order: codec.Order{OrderID: "1"}, Grant: Grant{Fencing: 1, Until: time.Now()}})
	require.True(t, event.(OrderFinished).Unsent)
}
