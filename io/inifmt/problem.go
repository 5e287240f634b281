package inifmt

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File     string
	Line     int // from 1; 0 when the fault is something that is missing from the file
	Section  string
	Key      string
	Found    string
	Expected string
}

// String returns file, line, section, key, what was found and what was expected.
func (problem Problem) String() string {
	place := problem.File
	if problem.Line > 0 {
		place += fmt.Sprintf(":%d", problem.Line)
	}
	if problem.Section != "" {
		place += fmt.Sprintf(": [%s]", problem.Section)
	}
	if problem.Key != "" {
		place += " " + problem.Key
	}
	found := "nothing"
	if problem.Found != "" {
		found = fmt.Sprintf("%q", problem.Found)
	}
	return fmt.Sprintf("%s: found %s, expected %s", place, found, problem.Expected)
}

// InvalidError lists all faults of a file, ordered by line.
type InvalidError struct {
	Problems []Problem
}

// Error returns all faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(one, other Problem) int { return one.Line - other.Line })
	return &InvalidError{Problems: problems}
}
