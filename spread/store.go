package spread

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The hash tree has a root with 16 children, each with 16 leaves. A node's hash
// is the XOR of the hashes of all items below it, so that adding or removing an
// item costs three operations.
const (
	treeLevels = 3
	treeLeaves = 256
	fanoutBits = 4
	hashBytes  = 8
)

// store holds items and their hash tree.
type store struct {
	entries    map[string]*entry
	leaves     [treeLeaves][]*entry
	tree       [treeLevels][]uint64
	tombstones []*entry
}

// entry is one stored item.
type entry struct {
	Item
	leaf byte
	hash uint64
	// createdAt is when a tombstone was created.
	createdAt time.Time
}

func newStore() store {
	st := store{entries: map[string]*entry{}}
	for level := range st.tree {
		st.tree[level] = make([]uint64, 1<<(level*fanoutBits))
	}
	return st
}

// put stores an item if it is newer than the stored one and reports whether it
// did.
func (st *store) put(item Item, now time.Time) bool {
	e, ok := st.entries[item.Key]
	if ok && item.Version.Compare(e.Version) <= 0 {
		return false
	}
	if !ok {
		e = &entry{leaf: byte(xxhash.Sum64String(item.Key))}
		st.entries[item.Key] = e
		st.leaves[e.leaf] = append(st.leaves[e.leaf], e)
	}
	if item.Tombstone && !e.Tombstone {
		st.tombstones = append(st.tombstones, e)
	}
	st.toggle(e)
	e.Item = item
	e.hash = item.hash()
	st.toggle(e)
	e.createdAt = now.Add(-time.Duration(max(item.AgeMs, 0)) * time.Millisecond)
	return true
}

// toggle adds an entry's hash to the tree or removes it.
func (st *store) toggle(e *entry) {
	for level := range st.tree {
		st.tree[level][nodeOf(e.leaf, level)] ^= e.hash
	}
}

// nodeOf returns the ancestor of a leaf at a level of the tree.
func nodeOf(leaf byte, level int) byte {
	return leaf >> (fanoutBits * (treeLevels - 1 - level))
}

func (i Item) hash() uint64 {
	buffer := make([]byte, 0, MaxKeyBytes)
	buffer = binary.BigEndian.AppendUint64(buffer, i.Version.Major)
	buffer = binary.BigEndian.AppendUint64(buffer, i.Version.Minor)
	return xxhash.Sum64(append(buffer, i.Key...))
}

// expireTombstones removes tombstones that are past their TTL.
func (st *store) expireTombstones(now time.Time, ttl time.Duration) {
	st.tombstones = slices.DeleteFunc(st.tombstones, func(e *entry) bool {
		if !e.Tombstone {
			return true
		}
		if now.Sub(e.createdAt) < ttl {
			return false
		}
		st.toggle(e)
		delete(st.entries, e.Key)
		leaf := &st.leaves[e.leaf]
		*leaf = slices.DeleteFunc(*leaf, func(other *entry) bool { return other == e })
		return true
	})
}

// summary returns a summary with the hashes of the given nodes.
func (st *store) summary(round uint64, level int, nodes []byte) *Summary {
	hashes := make([]byte, 0, len(nodes)*hashBytes)
	for _, node := range nodes {
		hashes = binary.BigEndian.AppendUint64(hashes, st.tree[level][node])
	}
	return &Summary{Round: round, Level: level, Nodes: nodes, Hashes: hashes}
}

// differing returns the nodes of a summary whose hashes differ from the local
// ones.
func (st *store) differing(sum *Summary) []byte {
	if sum.Level < 0 || sum.Level >= treeLevels || len(sum.Hashes) != len(sum.Nodes)*hashBytes {
		return nil
	}
	var nodes []byte
	for i, node := range sum.Nodes {
		hash := binary.BigEndian.Uint64(sum.Hashes[i*hashBytes:])
		if int(node) < len(st.tree[sum.Level]) && st.tree[sum.Level][node] != hash {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// children returns the children of the given nodes.
func children(nodes []byte) []byte {
	result := make([]byte, 0, len(nodes)<<fanoutBits)
	for _, node := range nodes {
		for i := range byte(1 << fanoutBits) {
			result = append(result, node<<fanoutBits|i)
		}
	}
	return result
}

func (e *entry) ageMs(now time.Time) int64 {
	if !e.Tombstone {
		return 0
	}
	return now.Sub(e.createdAt).Milliseconds()
}

func (e *entry) offer(now time.Time) Offer {
	return Offer{Key: e.Key, Version: e.Version, Tombstone: e.Tombstone, AgeMs: e.ageMs(now)}
}

func (e *entry) item(now time.Time) Item {
	item := e.Item
	item.AgeMs = e.ageMs(now)
	return item
}
