package ledger

// Begun tells what a partition knows of a request that is about to run.
// Its cases are Fresh, Recorded, Other and Refused.
type Begun interface {
	begun()
}

// Fresh tells that the entry is stored and that its attempt alone may send the request.
type Fresh struct{}

// Recorded tells that the key already has this entry, in whatever state.
type Recorded struct {
	Entry Entry
}

// Other tells that the key belongs to a request with another content.
type Other struct{}

// Refused tells that nothing was recorded and that the attempt must not send.
type Refused struct {
	Reason string
}

func (Fresh) begun()    {}
func (Recorded) begun() {}
func (Other) begun()    {}
func (Refused) begun()  {}
