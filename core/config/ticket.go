package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxTextLength is the longest operator name, note or model name, in bytes.
const maxTextLength = 4096

// kindTicket is the kind under which problems name the ticket itself.
const kindTicket ObjectKind = "Ticket"

// Ticket is one change to the configuration: the complete new state of each object that it declares or deletes.
type Ticket struct {
	Number   int64
	Operator string
	Note     string
	Objects  []Object // the Ticket field of each has no meaning here
}

// Hash returns the hex digest of the ticket's number, operator, note and objects, independent of the objects' order.
func (ticket Ticket) Hash() string {
	lines := make([]string, 0, len(ticket.Objects))
	for _, object := range ticket.Objects {
		lines = append(lines, object.fingerprint())
	}
	slices.Sort(lines)
	digest := sha256.New()
	fmt.Fprintf(digest, "%d %q %q\n%s", ticket.Number, ticket.Operator, ticket.Note, strings.Join(lines, "\n"))
	return hex.EncodeToString(digest.Sum(nil))
}

// fingerprint returns an unambiguous text of the object's complete state without its ticket number.
//
// Stored hashes depend on the output of %#v, and so on the names and the order of the fields.
func (object Object) fingerprint() string {
	object = object.canonical()
	text := fmt.Sprintf("%q %q %t", object.Ref.Kind, object.Ref.Name, object.Deleted)
	if object.Team != nil {
		text += fmt.Sprintf(" %#v", *object.Team)
	}
	if object.DataCentre != nil {
		text += fmt.Sprintf(" %#v", *object.DataCentre)
	}
	if object.Service != nil {
		text += fmt.Sprintf(" %#v", *object.Service)
	}
	if object.Target != nil {
		text += fmt.Sprintf(" %#v", *object.Target)
	}
	if object.Pipeline != nil {
		text += fmt.Sprintf(" %#v", *object.Pipeline)
	}
	if object.ServiceLevel != nil {
		text += fmt.Sprintf(" %#v", *object.ServiceLevel)
	}
	if object.Limits != nil {
		text += fmt.Sprintf(" %#v", *object.Limits)
	}
	return text
}

// Validate returns an *InvalidError with the problems that can be found in the ticket alone, or nil.
func (ticket Ticket) Validate() error {
	checker := &checker{ref: Ref{kindTicket, fmt.Sprint(ticket.Number)}}
	checker.require(ticket.Number > 0, "Number", ticket.Number, "a number from 1")
	checker.require(ticket.Operator != "", "Operator", "", "the name of the operator")
	checker.text("Operator", ticket.Operator)
	checker.text("Note", ticket.Note)
	checker.require(len(ticket.Objects) > 0, "Objects", "", "at least one object")
	problems := checker.problems
	seen := map[Ref]bool{}
	for _, object := range ticket.Objects {
		problems = append(problems, checkObject(object)...)
		if seen[object.Ref] {
			duplicate := Problem{Object: object.Ref, Key: "Name", Found: object.Ref.Name, Expected: "each object once in a ticket"}
			problems = append(problems, duplicate)
		}
		seen[object.Ref] = true
	}
	return asError(problems)
}

// text records a problem with the key when the value is too long, or when JSON and INI cannot encode it unchanged.
func (checker *checker) text(key, value string) {
	found := fmt.Sprintf("%d bytes", len(value))
	checker.require(len(value) <= maxTextLength, key, found, fmt.Sprintf("at most %d bytes", maxTextLength))
	checker.require(utf8.ValidString(value), key, fmt.Sprintf("%q", value), "valid UTF-8")
}

// Outcome is the effect of a ticket on one object.
type Outcome int

// The outcomes.
const (
	Applied    Outcome = iota
	Superseded         // the object carries a higher ticket number and keeps its state
	Unchanged          // the object already has this state
)

var outcomeNames = [...]string{Applied: "Applied", Superseded: "Superseded", Unchanged: "Unchanged"}

// String returns the name used in responses to operators.
func (outcome Outcome) String() string { return nameOf(outcomeNames[:], int(outcome)) }

// Step is the decision for one object of a ticket.
type Step struct {
	Outcome Outcome
	Object  Object // state after the ticket
	Write   bool   // the store must be updated with Object
}

// Plan returns the step for each object of the ticket, given the stored objects.
//
// An object whose state stays the same is still written when its ticket number rises: otherwise a ticket with a number
// in between that is applied later would change it.
func Plan(stored []Object, ticket Ticket) []Step {
	byRef := make(map[Ref]Object, len(stored))
	for _, object := range stored {
		byRef[object.Ref] = object
	}
	steps := make([]Step, 0, len(ticket.Objects))
	for _, object := range ticket.Objects {
		previous, exists := byRef[object.Ref]
		steps = append(steps, decide(previous, exists, object.WithTicket(ticket.Number)))
	}
	return steps
}

func decide(previous Object, exists bool, next Object) Step {
	switch {
	case !exists:
		return Step{Applied, next, true}
	case previous.Ticket > next.Ticket:
		return Step{Superseded, previous, false}
	case previous.Ticket == next.Ticket && previous.SameContent(next):
		return Step{Unchanged, previous, false}
	case previous.Ticket == next.Ticket:
		return Step{Superseded, previous, false}
	case previous.SameContent(next):
		return Step{Unchanged, next, true}
	default:
		return Step{Applied, next, true}
	}
}
