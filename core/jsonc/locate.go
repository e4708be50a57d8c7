package jsonc

import "github.com/tailscale/hujson"

// Locate returns the line and column of a top-level key, or 1 and 1 if the data does not parse or lacks the key.
func Locate(data []byte, key string) (line, column int) {
	tree, err := hujson.Parse(data)
	if err != nil {
		return 1, 1
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return 1, 1
	}
	for _, member := range object.Members {
		if member.Name.Value.(hujson.Literal).String() == key {
			return position(data, member.Name.StartOffset)
		}
	}
	return 1, 1
}

// HasKey reports whether the data parses as an object that has the given top-level key.
func HasKey(data []byte, key string) bool {
	tree, err := hujson.Parse(data)
	if err != nil {
		return false
	}
	return tree.Find("/"+key) != nil
}
