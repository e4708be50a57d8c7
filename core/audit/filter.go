package audit

// Filter selects entries by the fields that are not empty.
type Filter struct {
	Operator string
	ChangeID string
}

func (f Filter) matches(e Entry) bool {
	if f.Operator != "" && f.Operator != e.Operator {
		return false
	}
	return f.ChangeID == "" || f.ChangeID == e.ChangeID
}
