package hingeload

import "strings"

// Finding classifies the text of an answer that ended as complete.
type Finding uint8

// The findings.
const (
	// Correct is the complete, expected answer.
	Correct Finding = iota
	// Truncated lacks tokens.
	Truncated
	// Duplicated has duplicate tokens.
	Duplicated
	// Misdelivered has tokens of another request's answer.
	Misdelivered
)

// ClassifyAnswer compares an answer with the expected one token by token (rule 5).
// Tokens end with a space. Of several faults it returns the most severe:
// Misdelivered, then Duplicated, then Truncated.
func ClassifyAnswer(want, got string) Finding {
	if got == want {
		return Correct
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
			return Misdelivered
		case remaining == 0:
			finding = Duplicated
		}
		expected[token]--
		if remaining == 0 {
			expected[token] = 0
		}
	}
	return finding
}
