package acceptor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a listener that refuses new connections although one without a request could yield, because clients keep its reserve
// for refusals full.
func TestNewConnectionsAreServedAsSoonAsOneCanYield(t *testing.T) {
	r := newRoster(2, 1)
	add := func() (*entry, bool, *entry) {
		e := &entry{}
		admitted, victim := r.admit(e)
		return e, admitted, victim
	}
	first, _, _ := add()
	second, _, _ := add()
	require.True(t, r.move(first, running))
	require.True(t, r.move(second, running))
	third, admitted, victim := add()
	require.True(t, admitted)
	require.True(t, third.refused)
	require.Nil(t, victim)
	fourth, admitted, victim := add()
	require.True(t, admitted)
	require.True(t, fourth.refused)
	require.Same(t, third, victim, "a silent connection of the reserve yields to the next one")
	require.False(t, r.move(third, running), "it is no longer part of the roster")
	require.True(t, r.move(fourth, running))
	_, admitted, victim = add()
	require.False(t, admitted)
	require.Nil(t, victim)
	require.True(t, r.move(fourth, silent))
	require.True(t, r.move(second, idle))
	fifth, admitted, victim := add()
	require.True(t, admitted)
	require.False(t, fifth.refused)
	require.Same(t, second, victim)
	require.True(t, r.remove(first))
	require.False(t, r.remove(first))
	_, admitted, victim = add()
	require.True(t, admitted)
	require.Nil(t, victim)
}

// Guards against connections that yield in another order than that of their states and of their times in them.
func TestOrderInWhichConnectionsYield(t *testing.T) {
	r := newRoster(5, 1)
	order := []state{silent, silent, partial, idle, receiving}
	var entries []*entry
	for range order {
		e := &entry{}
		_, _ = r.admit(e)
		entries = append(entries, e)
	}
	for i := len(order) - 1; i >= 0; i-- {
		require.True(t, r.move(entries[i], order[i]))
	}
	for i, e := range entries {
		newest := &entry{}
		admitted, victim := r.admit(newest)
		require.True(t, admitted)
		require.Same(t, e, victim, "%s, number %d", order[i], i)
		require.True(t, r.move(newest, running))
	}
	require.Equal(t, 5, r.count(running))
}

// Guards against heads whose end is missed or found too early, and against a cost below what a parsed head takes.
func TestScannerFindsTheEndsOfHeads(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nrest": 24, "GET / HTTP/1.1\nA: b\n\nrest": 21, "\r\nGET": 2, "\nGET": 1, "A\r\n\rB\r\n\n": 8, "A\r\r\n\r\n": 6,
	} {
		for size := 1; size <= len(text); size++ {
			s := scanner{line: atStart}
			position, ended := 0, false
			for position < len(text) && !ended {
				var read int
				read, ended = s.scan([]byte(text[position:min(position+size, len(text))]))
				position += read
			}
			require.True(t, ended, "%q in pieces of %d", text, size)
			require.Equal(t, want, position, "%q in pieces of %d", text, size)
			require.EqualValues(t, want, s.size)
		}
	}
	for _, text := range []string{"GET / HTTP/1.1\r\nA: b\r\n", "A\r\n \r\n", "A\r\nB\r\n\r"} {
		s := scanner{line: atStart}
		_, ended := s.scan([]byte(text))
		require.False(t, ended, "%q", text)
	}
}
