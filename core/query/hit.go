package query

// Hit is one search result.
type Hit struct {
	ID    string
	Score float64
	Title string
	Shard string
}
