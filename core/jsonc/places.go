package jsonc

import (
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Places finds values in data that parses.
type Places struct {
	tree hujson.Value
	// lines holds the offset at which each line starts.
	lines []int
}

// NewPlaces returns the places of data; it finds none if the data does not parse.
func NewPlaces(data []byte) Places {
	tree, err := hujson.Parse(data)
	if err != nil {
		return Places{}
	}
	p := Places{
		tree:  tree,
		lines: []int{0},
	}
	for i, b := range data {
		if b == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	return p
}

// At returns the line and column of the value at a dotted path, such as a.b[2].c, or of the nearest value around it that exists.
func (p Places) At(path string) (line, column int) {
	pointer := strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
	for pointer != "" {
		if found := p.tree.Find("/" + pointer); found != nil {
			offset := found.StartOffset
			line, exact := slices.BinarySearch(p.lines, offset)
			if exact {
				line++
			}
			return line, 1 + offset - p.lines[line-1]
		}
		i := max(0, strings.LastIndexByte(pointer, '/'))
		pointer = pointer[:i]
	}
	return 1, 1
}
