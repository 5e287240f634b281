package config

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one validation error of a configuration object or ticket.
type Problem struct {
	Object   Ref
	Stage    string // set when the problem is in one stage of a pipeline
	Key      string
	Found    string
	Expected string
}

// String returns the object, the key, what was found and what was expected.
func (problem Problem) String() string {
	location := problem.Object.String()
	if problem.Stage != "" {
		location += fmt.Sprintf(" stage %q", problem.Stage)
	}
	found := "nothing"
	if problem.Found != "" {
		found = fmt.Sprintf("%q", problem.Found)
	}
	return fmt.Sprintf("%s: %s: found %s, expected %s", location, problem.Key, found, problem.Expected)
}

// InvalidError lists all problems of a configuration or ticket.
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

// asError returns nil for an empty list, and otherwise an *InvalidError with the problems sorted by object.
func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(one, other Problem) int { return one.Object.compare(other.Object) })
	return &InvalidError{Problems: problems}
}

// checker collects the problems of one object.
type checker struct {
	ref      Ref
	stage    string
	problems []Problem
}

// require records a problem with the key unless the condition holds.
func (checker *checker) require(condition bool, key string, found any, expected string) {
	if condition {
		return
	}
	checker.problems = append(checker.problems, Problem{
		Object: checker.ref, Stage: checker.stage, Key: key, Found: fmt.Sprint(found), Expected: expected,
	})
}

// within records a problem with the key unless minimum <= value <= maximum.
func (checker *checker) within(value, minimum, maximum int, key string) {
	expected := fmt.Sprintf("a number from %d to %d", minimum, maximum)
	checker.require(minimum <= value && value <= maximum, key, value, expected)
}
