package lang

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestParse parses valid commands, and invalid ones, whose errors must state the column or suggest the mistyped keyword.
func TestParse(t *testing.T) {
	cases := []struct {
		text string
		want string
	}{
		{text: `search chart-desk contour_sheet "north" limit 5 key "k" caller me deadline 200ms`},
		{text: `take out data_centre cerro-alegre force because "power" dry_run`},
		{text: `bring in server chart-desk-01/0`},
		{text: `set kind chart-desk brigade_check deadline 250ms because "late"`},
		{text: `set kind chart-desk brigade_check min_coverage 0.9`},
		{text: `set budget hedge 0.02 dry_run`},
		{text: "put collection `{\"name\":\"x\"}`"},
		{text: `show hosts`},
		{text: `explain query 0011aabbccddee22`},
		{text: `explain query 1234567890123456`},
		{text: `help`},
		{text: `tak out host x`, want: `column 1: unexpected token "tak"; did you mean "take"?`},
		{text: `take uot host x`, want: `did you mean "out"?`},
		{text: `take out hots x`, want: `column 10:`},
		{text: ``, want: `column 1:`},
		{text: `search a b "open`, want: `column 12:`},
		{text: `set budget hedge much`, want: `column 18:`},
		{text: `show hosts "a" extra`, want: `column 16:`},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := Parse(c.text)
			Convey("Valid commands pass, invalid ones are reported with their column", t, func() {
				if c.want == "" {
					So(err, ShouldBeNil)
					return
				}
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, c.want)
			})
		})
	}
}

// FuzzParse parses arbitrary text: a command parsed without an error must have a field set.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`search a b "c" limit 3`, `take out host x because "y"`, `set kind a b c 1s`, "put collection `{}`"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		if err == nil && c == (Command{}) {
			t.Fatalf("%q was parsed without an error, but no command is set", text)
		}
	})
}
