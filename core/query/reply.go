package query

// Reply is a backend server's whole reply to an opaque message.
type Reply struct {
	Status int
	// Signature is the server's signature of the reply; it is empty when there is none.
	Signature string
	Header    []HeaderField
	Body      []byte
}

// Succeeded reports whether the reply is a signed success.
func (r *Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// HeaderField is one header field of a message that is passed on unchanged.
type HeaderField struct {
	Name  string
	Value string
}
