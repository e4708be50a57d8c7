package query

import (
	"encoding/hex"
	"math/rand/v2"
)

// NewID returns a random 64-bit identifier for a request or a configuration change, as 16 hexadecimal digits.
func NewID() string {
	var id [8]byte
	n := rand.Uint64()
	for i := range id {
		id[i] = byte(n >> (8 * i))
	}
	return hex.EncodeToString(id[:])
}
