package query

// Credentials are the header fields by which a caller names its client account. A configuration with accounts keeps them from
// servers and other hosts; without accounts they are forwarded like other fields.
type Credentials struct {
	// Key is the key that came with the message; empty if none did.
	Key string
	// Problem says why there is no key: no field, or one that does not hold a key. It is empty if there is one.
	Problem string
	// Head is the head of the message with these fields at their places; nil if none came.
	Head []byte
}
