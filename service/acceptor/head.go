package acceptor

import (
	"bytes"

	"celerygap.example/lib/identifier"
)

const (
	// lineCost is the memory that a line of a parsed head takes beside its bytes: entries of maps, slices and strings, in the
	// request that the server reads and in the copy that is passed on.
	lineCost = identifier.Bytes(400)
	// byteFactor is the memory for each byte of a head: the bytes that arrived, the parsed strings and those of the copy.
	byteFactor = 3
	// freeHead is the size up to which a parsed head, and freeRaw the size up to which an incomplete one, counts as a part of its
	// connection.
	freeHead = identifier.Bytes(16 << 10)
	freeRaw  = identifier.Bytes(4 << 10)
)

// lineStart is how a line begins, as far as it has arrived.
type lineStart string

const (
	atStart lineStart = "start"
	afterCR lineStart = "cr"
	inText  lineStart = "text"
)

// scanner finds the ends of heads in the bytes of a connection. Lines end with LF or CR LF, and a head ends with an empty line. An
// empty line before a head is an end as well.
type scanner struct {
	line lineStart
	// size and lines measure the head so far.
	size  identifier.Bytes
	lines int
}

// scan reads bytes up to the end of the head. It returns the number of bytes read, and whether the head ended.
func (s *scanner) scan(text []byte) (read int, ended bool) {
	for !ended && read < len(text) {
		rest := text[read:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.line = s.line.after(rest)
			read = len(text)
			break
		}
		ended = s.line.after(rest[:end]) != inText
		s.line = atStart
		s.lines++
		read += end + 1
	}
	s.size += identifier.Bytes(read)
	return read, ended
}

// after returns how the line begins after more of its text.
func (l lineStart) after(text []byte) lineStart {
	switch {
	case len(text) == 0:
		return l
	case l == atStart && len(text) == 1 && text[0] == '\r':
		return afterCR
	}
	return inText
}

// cost returns the memory that the head takes once it is parsed.
func (s *scanner) cost() identifier.Bytes {
	return byteFactor*s.size + lineCost*identifier.Bytes(s.lines)
}
