package logger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/logger"
)

// Guards against two events with one number, whose lines cannot be told apart.
func TestEventsHaveNumbersOfTheirOwn(t *testing.T) {
	titles := make(map[logger.Event]string)
	for _, entry := range logger.Catalogue {
		require.Empty(t, titles[entry.Event], "%d: %s", entry.Event, entry.Title)
		titles[entry.Event] = entry.Title
	}
}
