package relay

import (
	"bytes"
	"math/rand/v2"
	"sort"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMergeKeepsGreatestRecords merges random parts and compares with a sort of all records.
func TestMergeKeepsGreatestRecords(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var bodies [][]byte
		var all []string
		for range random.IntN(6) {
			var body []byte
			for range random.IntN(5) {
				record := make([]byte, recordSize)
				for i := range record {
					record[i] = byte(random.IntN(3))
				}
				body = append(body, record...)
				all = append(all, string(record))
			}
			bodies = append(bodies, append(body, make([]byte, random.IntN(recordSize))...))
		}
		top := random.IntN(12)
		sort.Sort(sort.Reverse(sort.StringSlice(all)))
		want := []byte{}
		for _, record := range all[:min(top, len(all))] {
			want = append(want, record...)
		}
		if got := merge(bodies, top); !bytes.Equal(got, want) {
			t.Fatalf("merged %x, want %x", got, want)
		}
	}
	Convey("Equal records all count, and remainders do not", t, func() {
		record := bytes.Repeat([]byte{7}, recordSize)
		So(merge([][]byte{record, append(record, 9)}, 5), ShouldResemble, append(append([]byte{}, record...), record...))
	})
}
