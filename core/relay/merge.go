package relay

import (
	"encoding/binary"
	"slices"
)

// recordSize is the length in bytes of one record in the body of a shard's reply.
const recordSize = 16

// record is one record as two big-endian numbers, which compare like its bytes.
type record struct {
	high, low uint64
}

// before reports whether r is greater than other, and so comes before it in an answer.
func (r record) before(other record) bool {
	return r.high > other.high || (r.high == other.high && r.low > other.low)
}

// merge returns the topK greatest records of the bodies, compared bytewise, in descending order.
// An incomplete record at the end of a body is ignored.
func merge(bodies [][]byte, topK int) []byte {
	total := 0
	for _, b := range bodies {
		total += len(b) / recordSize
	}
	greatest := make(leastFirst, 0, max(min(topK, total), 0))
	for _, b := range bodies {
		for ; len(b) >= recordSize; b = b[recordSize:] {
			greatest.offer(record{
				high: binary.BigEndian.Uint64(b),
				low:  binary.BigEndian.Uint64(b[recordSize/2:]),
			})
		}
	}
	slices.SortFunc(greatest, func(a, b record) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		default:
			return 0
		}
	})
	body := make([]byte, 0, len(greatest)*recordSize)
	for _, r := range greatest {
		body = binary.BigEndian.AppendUint64(body, r.high)
		body = binary.BigEndian.AppendUint64(body, r.low)
	}
	return body
}

// leastFirst is a binary heap with the least of the greatest records at its root. Its capacity bounds it: most records are dropped after
// one comparison with the root, while sorting all of them would take a multiple of the time.
type leastFirst []record

// offer adds a record, in the place of the least one if the heap is full.
func (h *leastFirst) offer(r record) {
	switch {
	case len(*h) < cap(*h):
		*h = append(*h, r)
		h.up(len(*h) - 1)
	case len(*h) > 0 && r.before((*h)[0]):
		(*h)[0] = r
		h.down()
	}
}

// up moves the record at i to its place above.
func (h *leastFirst) up(i int) {
	s := *h
	for i > 0 {
		parent := (i - 1) / 2
		if !s[parent].before(s[i]) {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

// down moves the root to its place below.
func (h *leastFirst) down() {
	s := *h
	for i := 0; 2*i+1 < len(s); {
		least := 2*i + 1
		if right := least + 1; right < len(s) && s[least].before(s[right]) {
			least = right
		}
		if !s[i].before(s[least]) {
			return
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
}
