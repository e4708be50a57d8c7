package jsonc

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// bounds are the limits that the tags of a field set; an empty low or high sets no limit.
type bounds struct {
	low     string
	high    string
	options []string
}

func boundsOf(f reflect.StructField) bounds {
	b := bounds{
		low:  f.Tag.Get("min"),
		high: f.Tag.Get("max"),
	}
	if options := f.Tag.Get("oneof"); options != "" {
		b.options = strings.Split(options, "|")
	}
	return b
}

// String returns the permitted strings or range, as errors show them.
func (b bounds) String() string {
	switch {
	case len(b.options) > 0:
		return strings.Join(b.options, ", ")
	case b.high == "":
		return "at least " + b.low
	case b.low == "":
		return "at most " + b.high
	default:
		return fmt.Sprintf("%s to %s", b.low, b.high)
	}
}

// permitsString checks a string against the options or, without options, its length in bytes against the range.
func (b bounds) permitsString(s string) bool {
	if len(b.options) > 0 {
		return slices.Contains(b.options, s)
	}
	return b.permitsNumber(float64(len(s)))
}

func (b bounds) permitsNumber(v float64) bool {
	return within(v, b.low, b.high, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

func (b bounds) permitsDuration(v time.Duration) bool {
	return within(v, b.low, b.high, time.ParseDuration)
}

// within reports whether v lies in the range; a bound that does not parse, such as an empty one, is ignored.
func within[T float64 | time.Duration](v T, low, high string, parse func(string) (T, error)) bool {
	if least, err := parse(low); err == nil && v < least {
		return false
	}
	most, err := parse(high)
	return err != nil || v <= most
}
