package kumquathitch

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard, in [0, shards), that holds the state of a key.
// It panics when shards is not positive.
func ShardOf(key string, shards int) int {
	return int(xxhash.Sum64String(key) % uint64(shards)) //nolint:gosec // The remainder is below shards, an int.
}

// Partition is one of several parts that a set of keys is divided into.
type Partition struct {
	Index int `json:"index,omitempty"`
	Count int `json:"count,omitempty"` // 0 and 1 mean that there is one partition only.
}

// Contains reports whether a key belongs to the partition.
func (p Partition) Contains(key string) bool {
	return p.Count <= 1 || ShardOf(key, p.Count) == p.Index
}

// RendezvousWeight returns the weight of a node for a key in rendezvous
// (highest random weight) hashing: the node with the highest weight owns the key.
func RendezvousWeight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0}) // Separates ("ab", "c") from ("a", "bc").
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}
