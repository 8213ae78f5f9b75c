// Package layerhasher implements the stand-in model. Each layer hashes its input together with its
// cache, so that the output changes whenever a layer is skipped, run twice or run out of order.
package layerhasher

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
)

// Cache holds the digest of each layer's KV cache.
type Cache map[identifier.Layer]uint64

// Run passes input through the layers of r, updates their caches, and returns the output. An input of 8
// bytes is taken as the output of the preceding layer; any other is hashed first.
func Run(cache Cache, r identifier.LayerRange, input []byte) []byte {
	x := xxhash.Sum64(input)
	if len(input) == 8 {
		x = binary.BigEndian.Uint64(input)
	}
	for l := r.From; l < r.To; l++ {
		x = mix(uint64(l), cache[l], x)
		cache[l] = mix(cache[l], x, 1)
	}
	return binary.BigEndian.AppendUint64(nil, x)
}

// Token returns the token for the last layer's output.
func Token(output []byte) string {
	return fmt.Sprintf("w%04x", binary.BigEndian.Uint64(output)&0xffff)
}

// TokenInput returns the first stage's input for the position that follows token.
func TokenInput(token string) []byte { return []byte(token) }

// Answer returns the first n tokens that a model with the given number of layers generates for a
// prompt.
func Answer(layers identifier.Layer, prompt string, n int) []string {
	cache := Cache{}
	input := []byte(prompt)
	tokens := make([]string, 0, n)
	for range n {
		token := Token(Run(cache, identifier.LayerRange{To: layers}, input))
		tokens = append(tokens, token)
		input = TokenInput(token)
	}
	return tokens
}

func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.BigEndian.PutUint64(buf[0:], a)
	binary.BigEndian.PutUint64(buf[8:], b)
	binary.BigEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}
