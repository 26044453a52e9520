package inferrer

import (
	"encoding/binary"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"celerygap.example/lib/identifier"
)

const (
	consonants = "bcdfghjklmnprstv"
	vowels     = "aeio"
	// lengthPosition is hashed to derive the natural length; no token has this position.
	lengthPosition identifier.Tokens = -1
)

// Script is the deterministic completion of a prompt and a seed, so that tests can compare texts.
type Script struct {
	base uint64
}

// NewScript returns the completion of a prompt and a seed.
func NewScript(prompt string, seed int64) Script {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(prompt)
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(seed)))
	return Script{base: digest.Sum64()}
}

func (s Script) hash(position identifier.Tokens) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, s.base)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(position)))
}

// Token returns the text of the token at a position: a word of four letters and a space.
func (s Script) Token(position identifier.Tokens) string {
	h := s.hash(position)
	var word [5]byte
	for i := 0; i < 4; i += 2 {
		word[i] = consonants[h%uint64(len(consonants))]
		h /= uint64(len(consonants))
		word[i+1] = vowels[h%uint64(len(vowels))]
		h /= uint64(len(vowels))
	}
	word[4] = ' '
	return string(word[:])
}

// Text returns the text of the tokens from first up to, but not including, end.
func (s Script) Text(first, end identifier.Tokens) string {
	var b strings.Builder
	for position := first; position < end; position++ {
		b.WriteString(s.Token(position))
	}
	return b.String()
}

// Length returns the natural length in tokens, which is exponentially distributed with about the given mean; without a
// positive mean there is no natural end.
func (s Script) Length(mean identifier.Tokens) identifier.Tokens {
	if mean <= 0 {
		return math.MaxInt64
	}
	u := (float64(s.hash(lengthPosition)>>11) + 1) / (1 << 53)
	return 1 + identifier.Tokens(-math.Log(u)*float64(mean))
}
