package config

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a declaration.
type Problem struct {
	Object   Ref
	Stage    string // set when the fault is in one stage of a pipeline
	Key      string
	Found    string
	Expected string
}

// String returns the object, the key, what was found and what was expected.
func (problem Problem) String() string {
	place := problem.Object.String()
	if problem.Stage != "" {
		place += fmt.Sprintf(" stage %q", problem.Stage)
	}
	found := "nothing"
	if problem.Found != "" {
		found = fmt.Sprintf("%q", problem.Found)
	}
	return fmt.Sprintf("%s: %s: found %s, expected %s", place, problem.Key, found, problem.Expected)
}

// InvalidError lists all faults of a configuration or ticket.
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

// asError returns nil for an empty list, and otherwise the faults in the order of their objects.
func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(one, other Problem) int { return one.Object.compare(other.Object) })
	return &InvalidError{Problems: problems}
}

// checker collects the faults of one object.
type checker struct {
	ref      Ref
	stage    string
	problems []Problem
}

// require notes a fault of the key unless the condition holds.
func (checker *checker) require(holds bool, key string, found any, expected string) {
	if holds {
		return
	}
	checker.problems = append(checker.problems, Problem{
		Object: checker.ref, Stage: checker.stage, Key: key, Found: fmt.Sprint(found), Expected: expected,
	})
}

// within notes a fault of the key unless the number is in the range.
func (checker *checker) within(value, least, most int, key string) {
	expected := fmt.Sprintf("a number from %d to %d", least, most)
	checker.require(least <= value && value <= most, key, value, expected)
}
