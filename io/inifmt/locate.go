package inifmt

import (
	"fmt"
	"regexp"
	"strings"
)

// locator maps sections and keys to line numbers, which ini.v1 does not report, and finds problems that ini.v1 ignores.
type locator struct {
	file     string
	names    []string // section names in file order
	sections map[string]int
	keys     map[keyPath]int
	problems []Problem
}

// keyPath identifies a key within a section.
type keyPath struct {
	section string
	key     string
}

const (
	byteOrderMark = "\ufeff"
	tripleQuote   = `"""` // starts a multi-line value in ini.v1
	backtick      = "`"   // starts a multi-line value in ini.v1
)

var keyPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)

// locate scans the text line by line and records the line of each section and key, and all syntax problems.
func locate(file, text string) *locator {
	locator := &locator{file: file, sections: map[string]int{}, keys: map[keyPath]int{}}
	section, inSection := "", false
	for i, line := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		line, number := strings.TrimSpace(line), i+1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, inSection = locator.header(line, number), true
		case !inSection:
			locator.addProblem(number, "", "", line, "a section header before the first key")
		default:
			locator.key(section, line, number)
		}
	}
	return locator
}

// header records a section and returns its name.
func (locator *locator) header(line string, number int) string {
	name, terminated := strings.CutSuffix(line[1:], "]")
	if !terminated || strings.ContainsAny(name, "[]") || name == "" {
		locator.addProblem(number, "", "", line, "a section header such as [Team NAME]")
	}
	if first, duplicate := locator.sections[name]; duplicate {
		locator.addProblem(number, name, "", line, fmt.Sprintf("each section once; the first is in line %d", first))
		return name
	}
	locator.sections[name] = number
	locator.names = append(locator.names, name)
	return name
}

func (locator *locator) key(section, line string, number int) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || !keyPattern.MatchString(key) {
		locator.addProblem(number, section, "", line, "a line such as Key = value")
		return
	}
	if strings.HasPrefix(value, tripleQuote) || strings.HasPrefix(value, backtick) {
		locator.addProblem(number, section, key, value, "a value on one line, quoted at most by single quotation marks as in Go")
	}
	path := keyPath{section, key}
	if first, duplicate := locator.keys[path]; duplicate {
		locator.addProblem(number, section, key, value, fmt.Sprintf("each key once; the first is in line %d", first))
		return
	}
	locator.keys[path] = number
}

func (locator *locator) addProblem(line int, section, key, found, expected string) {
	problem := Problem{File: locator.file, Line: line, Section: section, Key: key, Found: found, Expected: expected}
	locator.problems = append(locator.problems, problem)
}

// addProblemAt records a problem at the line of the key, or of the section header when the key is not in the file.
func (locator *locator) addProblemAt(section, key, found, expected string) {
	line, present := locator.keys[keyPath{section, key}]
	if !present {
		line = locator.sections[section]
	}
	locator.addProblem(line, section, key, found, expected)
}

// hasProblem reports whether a problem of the key has been recorded.
func (locator *locator) hasProblem(section, key string) bool {
	for _, problem := range locator.problems {
		if problem.Section == section && problem.Key == key {
			return true
		}
	}
	return false
}
