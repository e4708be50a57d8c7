package lint

import "fmt"

// Level is how much a finding matters.
type Level int

// The levels of findings. An Error is a configuration that can't do what it says; a Warning is one that probably doesn't.
const (
	Warning Level = iota
	Error
)

// String returns the level's name.
func (l Level) String() string {
	if l == Error {
		return "error"
	}
	return "warning"
}

// Kind is the kind of an entry.
type Kind int

// The kinds of entries. Whole is the configuration itself.
const (
	Whole Kind = iota
	RouteEntry
	ServiceEntry
	AccountEntry
	LimitsEntry
)

// Field is a field of an entry.
type Field int

// The fields that findings name. Entry names the entry itself.
const (
	Entry Field = iota
	Version
	Name
	Host
	Prefix
	Type
	Timeout
	Objective
	Attempts
	Priority
	Public
	Target
	Split
	Shards
	TopK
	MinCoverage
	MaxConnections
	WarmupRate
	WarmupTime
	Keys
	Rate
	Burst
	MaxHeaderBytes
	MaxBodyBytes
	HeaderTimeout
	IdleTimeout
)

// NoIndex is the index of an entry or element that is the only one.
const NoIndex = -1

// Place is a field of an entry: Index is that of the entry among its kind, Element that of an element of a field with several.
type Place struct {
	Kind    Kind
	Index   int
	Field   Field
	Element int
}

// Finding is something wrong or doubtful at a place.
type Finding struct {
	Level Level
	Place Place
	Text  string
}

// findings collects findings.
type findings []Finding

func (f *findings) add(level Level, p Place, format string, args ...any) {
	*f = append(*f, Finding{
		Level: level,
		Place: p,
		Text:  fmt.Sprintf(format, args...),
	})
}

// at returns the place of a field of an entry.
func at(k Kind, index int, field Field) Place {
	return Place{
		Kind:    k,
		Index:   index,
		Field:   field,
		Element: NoIndex,
	}
}

// element returns the place of an element of the field.
func (p Place) element(i int) Place {
	p.Element = i
	return p
}
