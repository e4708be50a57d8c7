package ledger

// BeginResult is the result of Ledger.Begin: Acquired, Duplicate, KeyReused or Refused.
type BeginResult interface {
	beginResult()
}

// Acquired means that the entry is stored and that only its attempt may send the request.
type Acquired struct{}

// Duplicate means that another attempt already recorded the same request. Entry is its record in any state except NotRun.
type Duplicate struct {
	Entry Entry
}

// KeyReused means that the caller's key belongs to a request with different content.
type KeyReused struct{}

// Refused means that the attempt must not send the request. Either nothing is recorded,
// or the record is closed as NotRun if the store confirms it later.
type Refused struct {
	Reason string
}

func (Acquired) beginResult()  {}
func (Duplicate) beginResult() {}
func (KeyReused) beginResult() {}
func (Refused) beginResult()   {}
