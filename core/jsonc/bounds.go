package jsonc

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// bounds is what the tags of a field permit; empty texts bound nothing.
type bounds struct {
	low   string
	high  string
	words []string
}

func boundsOf(f reflect.StructField) bounds {
	b := bounds{
		low:  f.Tag.Get("min"),
		high: f.Tag.Get("max"),
	}
	if words := f.Tag.Get("oneof"); words != "" {
		b.words = strings.Split(words, "|")
	}
	return b
}

// String names the permitted range.
func (b bounds) String() string {
	switch {
	case len(b.words) > 0:
		return strings.Join(b.words, ", ")
	case b.high == "":
		return "at least " + b.low
	case b.low == "":
		return "at most " + b.high
	default:
		return fmt.Sprintf("%s to %s", b.low, b.high)
	}
}

func (b bounds) holdsWord(s string) bool {
	if len(b.words) > 0 {
		return slices.Contains(b.words, s)
	}
	return b.holdsNumber(float64(len(s)))
}

func (b bounds) holdsNumber(v float64) bool {
	return within(v, b.low, b.high, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

func (b bounds) holdsDuration(v time.Duration) bool {
	return within(v, b.low, b.high, time.ParseDuration)
}

func within[T float64 | time.Duration](v T, low, high string, parse func(string) (T, error)) bool {
	if least, err := parse(low); err == nil && v < least {
		return false
	}
	most, err := parse(high)
	return err != nil || v <= most
}
