package hingeload

import "strings"

// Finding classifies the text of an answer that ended as complete.
type Finding uint8

// The findings.
const (
	// Right is the complete, expected answer.
	Right Finding = iota
	// Truncated lacks tokens.
	Truncated
	// Doubled has duplicate tokens.
	Doubled
	// Crossed has tokens of another request's answer.
	Crossed
)

// Judge compares an answer with the expected one token by token (rule 5).
// Tokens end with a space. Of several faults it returns the most severe:
// Crossed, then Doubled, then Truncated.
func Judge(want, got string) Finding {
	if got == want {
		return Right
	}
	expected := make(map[string]int)
	for token := range strings.SplitAfterSeq(want, " ") {
		expected[token]++
	}
	finding := Truncated
	for token := range strings.SplitAfterSeq(got, " ") {
		remaining, known := expected[token]
		switch {
		case token == "":
		case !known:
			return Crossed
		case remaining == 0:
			finding = Doubled
		}
		expected[token]--
		if remaining == 0 {
			expected[token] = 0
		}
	}
	return finding
}
