package engineconnector

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// errMalformed means that an event is not the JSON of a chunk or that its line is too long.
var errMalformed = errors.New("malformed event")

var (
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
)

// eventReader reads the data lines of a stream of server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(body io.Reader, maxEvent identifier.Bytes) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), int(maxEvent))
	lines.Split(splitTerminatedLines)
	return &eventReader{lines: lines}
}

// splitTerminatedLines is bufio.ScanLines, except that it discards a last line without a newline: such a line is an event
// that was cut off.
func splitTerminatedLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// next returns the next chunk, done at the end marker, or io.EOF if the stream ends.
func (r *eventReader) next() (chunk codec.EngineChunk, done bool, err error) {
	for r.lines.Scan() {
		data, ok := bytes.CutPrefix(r.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, endMarker) {
			return codec.EngineChunk{}, true, nil
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return codec.EngineChunk{}, false, fmt.Errorf("%w: %w", errMalformed, err)
		}
		return chunk, false, nil
	}
	return codec.EngineChunk{}, false, r.endError()
}

func (r *eventReader) endError() error {
	err := r.lines.Err()
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return fmt.Errorf("%w: %w", errMalformed, err)
	default:
		return err
	}
}
