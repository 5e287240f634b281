package inifmt

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// loadOptions make ini.v1 return values as written and skip malformed lines, which the locator reports.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	KeyValueDelimiters:      "=",
	PreserveSurroundedQuote: true,
	SkipUnrecognizableLines: true,
}

// document is a parsed file with the line of each section and key.
type document struct {
	*locator
	parsed *ini.File
}

// parse parses the text and records syntax problems in the document.
func parse(file, text string) *document {
	document := &document{locator: locate(file, text)}
	parsed, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		if len(document.problems) == 0 {
			document.addProblem(0, "", "", err.Error(), "an INI file")
		}
		parsed = ini.Empty(loadOptions)
	}
	document.parsed = parsed
	return document
}

// table converts the values of one section and records problems in its document.
type table struct {
	document  *document
	section   string
	values    map[string]string
	requested map[string]bool
}

func (document *document) table(section string) *table {
	table := &table{document: document, section: section, values: map[string]string{}, requested: map[string]bool{}}
	if parsed, err := document.parsed.GetSection(section); err == nil {
		// Keys, unlike GetKey, omits values that a section with "." in its name inherits from its parent section.
		for _, key := range parsed.Keys() {
			table.values[key.Name()] = key.Value()
		}
	}
	return table
}

func (table *table) addProblem(key, found, expected string) {
	table.document.addProblemAt(table.section, key, found, expected)
}

// value returns the text of a key and whether it is present and not empty; an empty value is a problem.
func (table *table) value(key string) (string, bool) {
	table.requested[key] = true
	text, present := table.values[key]
	if present && text == "" {
		table.addProblem(key, "", "a value, or no such key")
	}
	return text, text != ""
}

// require records a problem when the key is not in the section.
func (table *table) require(key, expected string) {
	if _, present := table.values[key]; !present {
		table.addProblem(key, "", expected)
	}
}

func (table *table) text(key, fallback string) string {
	text, present := table.value(key)
	if !present {
		return fallback
	}
	if text[0] != '"' {
		return text
	}
	unquoted, err := strconv.Unquote(text)
	if err != nil {
		table.addProblem(key, text, "a text in quotation marks as in Go")
	}
	return unquoted
}

func (table *table) number(key string, fallback int) int {
	return int(table.number64(key, int64(fallback)))
}

func (table *table) number64(key string, fallback int64) int64 {
	text, present := table.value(key)
	if !present {
		return fallback
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		table.addProblem(key, text, "a whole number")
	}
	return number
}

func (table *table) float(key string, fallback float64) float64 {
	text, present := table.value(key)
	if !present {
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		table.addProblem(key, text, "a number such as 0.99")
	}
	return number
}

func (table *table) duration(key string, fallback time.Duration) time.Duration {
	text, present := table.value(key)
	if !present {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		table.addProblem(key, text, `a duration with a unit, such as 1.5s`)
	}
	return duration
}

func (table *table) boolean(key string, fallback bool) bool {
	text, present := table.value(key)
	if present && text != "true" && text != "false" {
		table.addProblem(key, text, "true or false")
	}
	if !present {
		return fallback
	}
	return text == "true"
}

// list returns the items of a comma-separated list; empty and duplicate items are problems.
func (table *table) list(key string) []string {
	text, present := table.value(key)
	if !present {
		return nil
	}
	var items []string
	seen := map[string]bool{}
	for _, item := range strings.Split(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" || seen[item] {
			table.addProblem(key, text, "a list separated by commas, without empty or repeated items")
		}
		seen[item] = true
		items = append(items, item)
	}
	return items
}

// choice returns the value that parse returns for the key's text, or fallback when the key is missing.
func choice[T any](table *table, key string, fallback T, parse func(string) (T, bool), expected string) T {
	text, present := table.value(key)
	if !present {
		return fallback
	}
	value, known := parse(text)
	if !known {
		table.addProblem(key, text, expected)
	}
	return value
}

// close reports the keys that were never requested as unknown.
func (table *table) close(expected string) {
	for key, value := range table.values {
		if !table.requested[key] {
			table.addProblem(key, value, expected)
		}
	}
}

// oneOf returns what was expected in place of an unknown key.
func oneOf(keys ...string) string { return "one of the keys " + strings.Join(keys, ", ") }
