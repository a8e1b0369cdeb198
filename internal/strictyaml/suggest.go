package strictyaml

import "sort"

// maxSuggestionDistance is the largest edit distance between an unknown field name and
// a suggested one.
const maxSuggestionDistance = 2

// unknownFieldMessage returns the message for an unknown field, with the most similar
// known name if there is one.
func unknownFieldMessage(name string, known map[string]int) string {
	names := make([]string, 0, len(known))
	for candidate := range known {
		names = append(names, candidate)
	}
	sort.Strings(names)
	best, distance := "", maxSuggestionDistance+1
	for _, candidate := range names {
		if d := editDistance(name, candidate); d < distance {
			best, distance = candidate, d
		}
	}
	if best == "" {
		return "unknown field"
	}
	return "unknown field; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
