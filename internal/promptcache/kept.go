package promptcache

// maxPartsPerReplica bounds the parts that are remembered for one replica, 64 bytes
// each. An engine of 150,000 tokens keeps a few hundred prompts of usual length.
const maxPartsPerReplica = 1024

// kept are the parts that one replica probably keeps. Like the engines it drops those
// that were used least recently when their tokens exceed the capacity.
type kept struct {
	capacity int // tokens
	tokens   int
	index    map[uint64]int32
	entries  []entry
	// newest and oldest are the ends of the list by time of use, freed the first of the
	// entries that are not in use; none ends each list.
	newest, oldest, freed int32
}

type entry struct {
	chain        uint64
	tokens       int32
	newer, older int32
}

const none int32 = -1

func newKept(capacity int) *kept {
	return &kept{capacity: capacity, index: make(map[uint64]int32), newest: none, oldest: none, freed: none}
}

// match returns the tokens at the beginning of a prompt that the replica keeps.
func (k *kept) match(parts []Part) int {
	sum := 0
	for _, p := range parts {
		if _, ok := k.index[p.Chain]; !ok {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// use records that the replica reads a prompt. The beginning is the part that was used
// last, so that it is dropped after what follows it.
func (k *kept) use(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.touch(parts[i])
	}
	for k.oldest != none && (k.tokens > k.capacity || len(k.index) > maxPartsPerReplica) {
		k.drop(k.oldest)
	}
}

func (k *kept) touch(p Part) {
	i, ok := k.index[p.Chain]
	if ok {
		k.unlink(i)
	} else {
		i = k.allocate()
		k.index[p.Chain] = i
		k.entries[i].chain, k.entries[i].tokens = p.Chain, int32(max(0, min(p.Tokens, k.capacity+1)))
		k.tokens += int(k.entries[i].tokens)
	}
	k.entries[i].newer, k.entries[i].older = none, k.newest
	if k.newest != none {
		k.entries[k.newest].newer = i
	}
	k.newest = i
	if k.oldest == none {
		k.oldest = i
	}
}

func (k *kept) allocate() int32 {
	if i := k.freed; i != none {
		k.freed = k.entries[i].older
		return i
	}
	k.entries = append(k.entries, entry{})
	return int32(len(k.entries) - 1)
}

func (k *kept) drop(i int32) {
	k.unlink(i)
	e := &k.entries[i]
	k.tokens -= int(e.tokens)
	delete(k.index, e.chain)
	e.older, k.freed = k.freed, i
}

func (k *kept) unlink(i int32) {
	e := &k.entries[i]
	if e.newer == none {
		k.newest = e.older
	} else {
		k.entries[e.newer].older = e.older
	}
	if e.older == none {
		k.oldest = e.newer
	} else {
		k.entries[e.older].newer = e.newer
	}
}
