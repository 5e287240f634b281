package inifmt

import (
	"fmt"
	"slices"
	"strings"
)

// Problem describes one error in a file.
type Problem struct {
	File     string
	Line     int // from 1; 0 when the problem has no line, such as a missing section
	Section  string
	Key      string
	Found    string
	Expected string
}

// String returns the problem as one line with file, line, section, key, what was found and what was expected.
func (problem Problem) String() string {
	location := problem.File
	if problem.Line > 0 {
		location += fmt.Sprintf(":%d", problem.Line)
	}
	if problem.Section != "" {
		location += fmt.Sprintf(": [%s]", problem.Section)
	}
	if problem.Key != "" {
		location += " " + problem.Key
	}
	found := "nothing"
	if problem.Found != "" {
		found = fmt.Sprintf("%q", problem.Found)
	}
	return fmt.Sprintf("%s: found %s, expected %s", location, found, problem.Expected)
}

// InvalidError lists all problems of a file, ordered by line.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one per line.
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
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Problems: problems}
}
