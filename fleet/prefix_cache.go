package fleet

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kumquathitch.example/kumquathitch"
)

// maxCachedParts bounds the prompt parts remembered for an instance. Engines cache
// a few hundred parts of ordinary length.
const maxCachedParts = 512

// prefixCache estimates the contents of an instance's prefix cache from the prompts
// that were sent to it.
type prefixCache struct {
	parts *simplelru.LRU[uint64, string] // Model by the hash of a part and all parts before it.
}

func newPrefixCache() prefixCache {
	parts, _ := simplelru.NewLRU[uint64, string](maxCachedParts, nil) // Fails only for a size below 1.
	return prefixCache{parts: parts}
}

// promptChain holds, for each part of a prompt, its tokens and the hash of the part
// and all parts before it.
type promptChain struct {
	model  string
	hashes []uint64
	tokens []int64
}

func newPromptChain(target string, prompt kumquathitch.PromptParts) promptChain {
	chain := promptChain{hashes: make([]uint64, len(prompt)), tokens: make([]int64, len(prompt))}
	chain.model, _, _ = strings.Cut(target, "/")
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	for i, part := range prompt {
		_, _ = digest.WriteString("\x00" + part.ID)
		chain.hashes[i], chain.tokens[i] = digest.Sum64(), part.Tokens
	}
	return chain
}

// cachedTokens returns the number of tokens in the leading parts that are cached.
func (p prefixCache) cachedTokens(chain promptChain) int64 {
	var tokens int64
	for i, hash := range chain.hashes {
		if !p.parts.Contains(hash) {
			break
		}
		tokens += chain.tokens[i]
	}
	return tokens
}

func (p prefixCache) add(chain promptChain) {
	for _, hash := range chain.hashes {
		p.parts.Add(hash, chain.model)
	}
}

// removeModel removes the parts of a model that was unloaded.
func (p prefixCache) removeModel(model string) {
	for _, hash := range p.parts.Keys() {
		if held, ok := p.parts.Peek(hash); ok && held == model {
			p.parts.Remove(hash)
		}
	}
}
