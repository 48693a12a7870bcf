package hingestandin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Token returns the token at index of the answer to prompt. It ends with a space.
func Token(prompt string, index int) string {
	return string(appendToken(nil, xxhash.Sum64String(prompt), index))
}

func appendToken(dst []byte, digest uint64, index int) []byte {
	dst = strconv.AppendUint(dst, digest&0xffffff, 36)
	dst = append(dst, '-')
	dst = strconv.AppendInt(dst, int64(index), 10)
	return append(dst, ' ')
}

// Answer returns the complete answer to prompt, of the given number of tokens.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// CountTokens returns the number of tokens of a prompt, one for every four bytes, rounded up.
func CountTokens(prompt string) hingeids.Tokens {
	return hingeids.Tokens((len(prompt) + 3) / 4)
}

// prefixBlockSize is the block size of the prefix cache, in bytes of prompt.
const prefixBlockSize = 64

// maxPrefixBlocks bounds the prefix cache, which evicts its oldest block.
const maxPrefixBlocks = 4096

// prefixCache stores digests of prompt prefixes at block boundaries.
type prefixCache struct {
	order  []uint64
	blocks map[uint64]bool
}

func newPrefixCache() *prefixCache {
	return &prefixCache{
		blocks: make(map[uint64]bool),
	}
}

// lookupAndAdd returns how many tokens of the prompt were cached, and caches the remaining blocks.
func (p *prefixCache) lookupAndAdd(prompt string) hingeids.Tokens {
	cached := 0
	hit := true
	for end := prefixBlockSize; end <= len(prompt); end += prefixBlockSize {
		digest := xxhash.Sum64String(prompt[:end])
		hit = hit && p.blocks[digest]
		if hit {
			cached = end
			continue
		}
		p.add(digest)
	}
	return CountTokens(prompt[:cached])
}

func (p *prefixCache) add(digest uint64) {
	if p.blocks[digest] {
		return
	}
	if len(p.order) == maxPrefixBlocks {
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
	p.blocks[digest] = true
	p.order = append(p.order, digest)
}
