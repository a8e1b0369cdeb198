package strictyaml

import "sort"

// furthestSuggestion is the largest edit distance of a name that is suggested
// for a mistyped one.
const furthestSuggestion = 2

func unknownField(name string, known map[string]int) string {
	names := make([]string, 0, len(known))
	for candidate := range known {
		names = append(names, candidate)
	}
	sort.Strings(names)
	best, distance := "", furthestSuggestion+1
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

// editDistance is the Levenshtein distance in bytes.
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
