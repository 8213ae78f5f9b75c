package drafter

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of prompt tokens in one block of the engines' prefix caches.
const blockTokens = 16

// CountTokens returns the number of tokens in a text, one for each word.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// prefixBlocks returns the rolling hash of each full block of the prompt. Equal hashes mean equal
// prefixes.
func prefixBlocks(prompt string) []uint64 {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	var blocks []uint64
	for i, w := range words {
		_, _ = hash.WriteString(w + " ")
		if (i+1)%blockTokens == 0 {
			blocks = append(blocks, hash.Sum64())
		}
	}
	return blocks
}
