// Package lang parses the query and command language of callers and operators; docs/LANGUAGE.md describes it.
package lang

// Command is one parsed command. Exactly one field is set.
type Command struct {
	Search  *Search  `parser:"  'search' @@"`
	Take    *Take    `parser:"| 'take' 'out' @@"`
	Bring   *Bring   `parser:"| 'bring' 'in' @@"`
	Set     *Set     `parser:"| 'set' @@"`
	Put     *Put     `parser:"| 'put' 'collection' @@"`
	Show    *Show    `parser:"| 'show' @@"`
	Explain *Explain `parser:"| 'explain' @@"`
	Help    *Help    `parser:"| @@"`
}

// Search runs a request in the way a caller's request runs.
type Search struct {
	Collection string        `parser:"@Word"`
	Kind       string        `parser:"@Word"`
	Text       string        `parser:"@String"`
	Options    []*SearchWith `parser:"@@*"`
}

// SearchWith is one option of a search.
type SearchWith struct {
	Limit    *int      `parser:"  'limit' @Number"`
	Key      *string   `parser:"| 'key' @(String|Word)"`
	Caller   *string   `parser:"| 'caller' @(String|Word)"`
	Deadline *Duration `parser:"| 'deadline' @Duration"`
}

// Take takes a data centre, host or backend server out of service.
type Take struct {
	Place Place  `parser:"@@"`
	Force bool   `parser:"@'force'?"`
	Notes *Notes `parser:"@@"`
}

// Bring returns a data centre, host or backend server to service.
type Bring struct {
	Place Place  `parser:"@@"`
	Notes *Notes `parser:"@@"`
}

// Place names a data centre, a host or a backend server.
type Place struct {
	Type string `parser:"@('data_centre'|'host'|'server')"`
	Name string `parser:"@(Word|String)"`
}

// Set changes one field of a kind or one budget.
type Set struct {
	Kind   *SetKind   `parser:"( 'kind' @@"`
	Budget *SetBudget `parser:"| 'budget' @@ )"`
	Notes  *Notes     `parser:"@@"`
}

// SetKind changes one field of a kind.
type SetKind struct {
	Collection string    `parser:"@Word"`
	Kind       string    `parser:"@Word"`
	Field      string    `parser:"@Word"`
	Deadline   *Duration `parser:"( @Duration"`
	Number     *float64  `parser:"| @Number )"`
}

// SetBudget changes the share of one budget.
type SetBudget struct {
	Name  string  `parser:"@Word"`
	Share float64 `parser:"@Number"`
}

// Put creates or replaces a collection from its JSON text.
type Put struct {
	JSON  string `parser:"@(String|Raw)"`
	Notes *Notes `parser:"@@"`
}

// Notes are the options of every change: a reason for the audit trail, and a dry run that only previews the change.
type Notes struct {
	Reason string `parser:"('because' @String)?"`
	DryRun bool   `parser:"@'dry_run'?"`
}

// Show lists a part of the state.
type Show struct {
	What string `parser:"@Word"`
	Name string `parser:"@(Word|String)?"`
}

// Explain lists the recorded steps of a request, or the state and events of a backend server, host or data centre.
type Explain struct {
	Type string `parser:"@('query'|'server'|'host'|'data_centre')"`
	Name string `parser:"@(Word|String|Number)"`
}

// Help lists the forms of all commands.
type Help struct {
	Help bool `parser:"@'help'"`
}
