package ledger

// BeginResult tells what a partition knows of a request that is about to run.
// Its cases are Acquired, Duplicate, KeyReused and Refused.
type BeginResult interface {
	beginResult()
}

// Acquired tells that the entry is stored and that its attempt alone may send the request.
type Acquired struct{}

// Duplicate tells that the key already has this entry, in whatever state.
type Duplicate struct {
	Entry Entry
}

// KeyReused tells that the key belongs to a request with another content.
type KeyReused struct{}

// Refused tells that nothing was recorded and that the attempt must not send.
type Refused struct {
	Reason string
}

func (Acquired) beginResult()  {}
func (Duplicate) beginResult() {}
func (KeyReused) beginResult() {}
func (Refused) beginResult()   {}
