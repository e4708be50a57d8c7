package query

// Reply is the complete reply of a backend server to a Message.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// Signature is the server's signature of the reply; it is empty for an unsigned reply.
	Signature string
	// Header holds the fields to forward; it is empty if the message sets OmitHeader.
	Header []HeaderField
	Body   []byte
}

// Succeeded reports whether the reply is signed and has a 2xx status.
func (r *Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// HeaderField is an HTTP header field that is forwarded unchanged.
type HeaderField struct {
	Name  string
	Value string
}
