package query

// Hit is one document that matches a search.
type Hit struct {
	ID string
	// Score is the relevance score from the backend server; higher is better.
	Score float64
	Title string
	// Shard is the identifier of the shard that holds the document.
	Shard string
}
