package hingeplace

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/swifthinge/swifthinge/internal/core/hingeids"
)

// Block is a leading part of a prompt, on a block boundary, that may be
// cached.
type Block struct {
	// Hash covers the whole leading part, so equal hashes mean equal prefixes.
	Hash uint64
	// Tokens is the length of the leading part.
	Tokens hingeids.Tokens
}

// HashBlocks divides a prompt into blocks and hashes each leading part of it.
// It returns at most maxBlocks blocks, so that a very long prompt doesn't flood
// the index, and none for a prompt shorter than one block.
func HashBlocks(prompt []byte, bytesPerToken, blockTokens, maxBlocks int) []Block {
	size := bytesPerToken * blockTokens
	if size <= 0 {
		return nil
	}
	n := min(len(prompt)/size, maxBlocks)
	out := make([]Block, n)
	d := xxhash.New()
	for i := range out {
		_, _ = d.Write(prompt[i*size : (i+1)*size])
		out[i] = Block{
			Hash:   d.Sum64(),
			Tokens: hingeids.Tokens((i + 1) * blockTokens),
		}
	}
	return out
}

// index records which engines may have which prefix cached. Rule 3. It evicts
// the least recently used entry when it is full.
type index struct {
	limit  int
	blocks map[uint64][]*list.Element
	lru    *list.List
}

type cacheEntry struct {
	hash   uint64
	engine *engine
	tokens hingeids.Tokens
}

func newIndex(limit int) *index {
	return &index{
		limit:  limit,
		blocks: make(map[uint64][]*list.Element),
		lru:    list.New(),
	}
}

// mark sets the hit of each engine that may have part of the prefix cached.
func (x *index) mark(prefix []Block) {
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, el := range x.blocks[prefix[i].Hash] {
			c := el.Value.(*cacheEntry)
			c.engine.hit = max(c.engine.hit, prefix[i].Tokens)
		}
	}
}

func (x *index) add(e *engine, b Block) {
	if el := x.find(e, b.Hash); el != nil {
		x.lru.MoveToFront(el)
		return
	}
	el := x.lru.PushFront(&cacheEntry{
		hash:   b.Hash,
		engine: e,
		tokens: b.Tokens,
	})
	x.blocks[b.Hash] = append(x.blocks[b.Hash], el)
	for x.lru.Len() > x.limit {
		x.removeEntry(x.lru.Back())
	}
}

func (x *index) find(e *engine, hash uint64) *list.Element {
	for _, el := range x.blocks[hash] {
		if el.Value.(*cacheEntry).engine == e {
			return el
		}
	}
	return nil
}

func (x *index) remove(e *engine, hash uint64) {
	if el := x.find(e, hash); el != nil {
		x.removeEntry(el)
	}
}

func (x *index) removeEntry(el *list.Element) {
	c := el.Value.(*cacheEntry)
	x.lru.Remove(el)
	remaining := x.blocks[c.hash]
	for i, other := range remaining {
		if other == el {
			remaining = append(remaining[:i], remaining[i+1:]...)
			break
		}
	}
	if len(remaining) == 0 {
		delete(x.blocks, c.hash)
		return
	}
	x.blocks[c.hash] = remaining
}

func (x *index) removeEngine(e *engine) {
	for el := x.lru.Front(); el != nil; {
		next := el.Next()
		if el.Value.(*cacheEntry).engine == e {
			x.removeEntry(el)
		}
		el = next
	}
}

// HandleCacheEvent handles a cache event of an engine: it stored the block, or
// dropped it.
func (v *View) HandleCacheEvent(s hingeids.ServerID, b Block, stored bool) {
	e := v.byID[s]
	if e == nil {
		return
	}
	if stored {
		v.index.add(e, b)
	} else {
		v.index.remove(e, b.Hash)
	}
}
