// Package near finds the known word that is closest to a mistyped one.
package near

// maxDistance is the largest number of edits between a word and its suggestion.
const maxDistance = 2

// Find returns the known word with the least edit distance to word, the first one among equals; ok is false when that
// distance is above maxDistance.
func Find(word string, known []string) (best string, ok bool) {
	least := maxDistance + 1
	for _, candidate := range known {
		if d := distance(word, candidate); d < least {
			best, least = candidate, d
		}
	}
	return best, least <= maxDistance
}

// distance returns the Levenshtein distance between a and b, counted in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
