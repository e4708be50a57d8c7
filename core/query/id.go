package query

import (
	"encoding/hex"
	"math/rand/v2"
)

// NewID returns a random identifier of 16 hexadecimal digits for a request or a change.
func NewID() string {
	var id [8]byte
	n := rand.Uint64()
	for i := range id {
		id[i] = byte(n >> (8 * i))
	}
	return hex.EncodeToString(id[:])
}
