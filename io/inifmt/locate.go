package inifmt

import (
	"fmt"
	"regexp"
	"strings"
)

// locator maps sections and keys to lines, which ini.v1 does not report, and finds faults that ini.v1 passes over.
type locator struct {
	file     string
	names    []string // of the sections, in the order of the file
	sections map[string]int
	keys     map[place]int
	problems []Problem
}

// place is one key of one section.
type place struct {
	section string
	key     string
}

const (
	byteOrderMark = "\ufeff"
	tripleQuote   = `"""` // ini.v1 reads on beyond the line after it
	backtick      = "`"   // the same
)

var keyPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)

// locate scans the text line by line.
func locate(file, text string) *locator {
	locator := &locator{file: file, sections: map[string]int{}, keys: map[place]int{}}
	section, opened := "", false
	for i, line := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		line, number := strings.TrimSpace(line), i+1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, opened = locator.header(line, number), true
		case !opened:
			locator.fault(number, "", "", line, "a section header before the first key")
		default:
			locator.key(section, line, number)
		}
	}
	return locator
}

// header notes a section and returns its name.
func (locator *locator) header(line string, number int) string {
	name, closed := strings.CutSuffix(line[1:], "]")
	if !closed || strings.ContainsAny(name, "[]") || name == "" {
		locator.fault(number, "", "", line, "a section header such as [Team NAME]")
	}
	if first, repeated := locator.sections[name]; repeated {
		locator.fault(number, name, "", line, fmt.Sprintf("each section once; the first is in line %d", first))
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
		locator.fault(number, section, "", line, "a line such as Key = value")
		return
	}
	if strings.HasPrefix(value, tripleQuote) || strings.HasPrefix(value, backtick) {
		locator.fault(number, section, key, value, "a value on one line, quoted at most by single quotation marks as in Go")
	}
	at := place{section, key}
	if first, repeated := locator.keys[at]; repeated {
		locator.fault(number, section, key, value, fmt.Sprintf("each key once; the first is in line %d", first))
		return
	}
	locator.keys[at] = number
}

func (locator *locator) fault(line int, section, key, found, expected string) {
	problem := Problem{File: locator.file, Line: line, Section: section, Key: key, Found: found, Expected: expected}
	locator.problems = append(locator.problems, problem)
}

// faultAt notes a fault of a key, or of the whole section when the key is not in the file.
func (locator *locator) faultAt(section, key, found, expected string) {
	line, present := locator.keys[place{section, key}]
	if !present {
		line = locator.sections[section]
	}
	locator.fault(line, section, key, found, expected)
}

// hasFault reports whether a fault of the key was noted already.
func (locator *locator) hasFault(section, key string) bool {
	for _, problem := range locator.problems {
		if problem.Section == section && problem.Key == key {
			return true
		}
	}
	return false
}
