package deliverer

import (
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/identifier"
	"celerygap.example/lib/refuser"
)

// MaxSlots is the largest number of samples of a step. The cursor of such a step has a bitmap of up to 2,048 bytes, which
// still fits in a URL.
const MaxSlots = 16384

const (
	cursorFormat  byte = 1
	checksumBytes      = 8
)

// Cursor states which slots of one step the trainer holds, that is, whose samples it has received. The trainer sends it with
// each page request. Step is the step's number and Total its number of slots.
type Cursor struct {
	Step  identifier.StepNumber
	Total int
	held  []byte
	count int
}

// NewCursor returns a cursor that holds none of the total slots of a step.
func NewCursor(step identifier.StepNumber, total int) Cursor {
	return Cursor{Step: step, Total: total, held: make([]byte, (total+7)/8)}
}

// Holds reports whether the trainer holds a slot; it is false for a slot outside the step.
func (c Cursor) Holds(slot int) bool {
	return slot >= 0 && slot < c.Total && c.held[slot/8]&(1<<(slot%8)) != 0
}

// Held returns the number of slots that the trainer holds.
func (c Cursor) Held() int { return c.count }

// Complete reports whether the trainer holds all slots of the step.
func (c Cursor) Complete() bool { return c.count == c.Total }

// With returns a copy of the cursor that also holds the given slots, which must be from 0 to Total-1.
func (c Cursor) With(slots ...int) Cursor {
	next := Cursor{Step: c.Step, Total: c.Total, held: append([]byte(nil), c.held...), count: c.count}
	for _, slot := range slots {
		if !next.Holds(slot) {
			next.held[slot/8] |= 1 << (slot % 8)
			next.count++
		}
	}
	return next
}

// Encode returns the cursor as base64url text. The checksum covers the trainer's name, so that the cursor of another trainer
// is not accepted.
func (c Cursor) Encode(trainer identifier.EntryName) string {
	data := []byte{cursorFormat}
	data = binary.AppendUvarint(data, uint64(c.Step))
	data = binary.AppendUvarint(data, uint64(c.Total))
	data = append(data, trimZeros(c.held)...)
	data = binary.BigEndian.AppendUint64(data, checksum(trainer, data))
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode reads the cursor of a trainer's step. It returns a CursorInvalid refusal if the text is empty, damaged or the cursor
// of another trainer or step.
func Decode(trainer identifier.EntryName, step identifier.StepNumber, text string) (Cursor, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Cursor{}, invalid("cursor is not base64url")
	}
	if len(data) < 1+checksumBytes {
		return Cursor{}, invalid("cursor is too short")
	}
	body, sum := data[:len(data)-checksumBytes], binary.BigEndian.Uint64(data[len(data)-checksumBytes:])
	if checksum(trainer, body) != sum {
		return Cursor{}, invalid("cursor is damaged or belongs to another trainer")
	}
	if body[0] != cursorFormat {
		return Cursor{}, invalid("cursor has an unknown format")
	}
	return decodeBody(step, body[1:])
}

func decodeBody(step identifier.StepNumber, body []byte) (Cursor, error) {
	gotStep, n := binary.Uvarint(body)
	if n <= 0 {
		return Cursor{}, invalid("cursor has no step number")
	}
	total, m := binary.Uvarint(body[n:])
	if m <= 0 || total > MaxSlots {
		return Cursor{}, invalid("cursor has no valid step size")
	}
	if identifier.StepNumber(gotStep) != step {
		return Cursor{}, invalid("cursor belongs to another step")
	}
	cursor := NewCursor(step, int(total))
	bitmap := body[n+m:]
	if len(bitmap) > len(cursor.held) {
		return Cursor{}, invalid("the bitmap of the cursor is longer than its step")
	}
	copy(cursor.held, bitmap)
	for _, b := range bitmap {
		cursor.count += bits.OnesCount8(b)
	}
	if cursor.count > 0 && highestSlot(bitmap) >= cursor.Total {
		return Cursor{}, invalid("cursor holds a slot outside its step")
	}
	return cursor, nil
}

// DecodeSized reads the cursor of a step whose number of slots is known, and returns a CursorInvalid refusal like Decode or
// if the size differs. The empty text is a cursor that holds no slot.
func DecodeSized(trainer identifier.EntryName, step identifier.StepNumber, total int, text string) (Cursor, error) {
	if text == "" {
		return NewCursor(step, total), nil
	}
	cursor, err := Decode(trainer, step, text)
	if err != nil {
		return Cursor{}, err
	}
	if cursor.Total != total {
		return Cursor{}, invalid("cursor belongs to a step of another size")
	}
	return cursor, nil
}

func invalid(detail string) error {
	return refuser.NotRun(refuser.CursorInvalid, 0, "%s", detail)
}

func checksum(trainer identifier.EntryName, data []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(trainer))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(data)
	return digest.Sum64()
}

func trimZeros(data []byte) []byte {
	end := len(data)
	for end > 0 && data[end-1] == 0 {
		end--
	}
	return data[:end]
}

func highestSlot(bitmap []byte) int {
	trimmed := trimZeros(bitmap)
	last := len(trimmed) - 1
	return last*8 + bits.Len8(trimmed[last]) - 1
}
