package inifmt

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"catkincove/core/config"
)

const (
	ticketSection = "Ticket"
	stageKind     = "Stage"

	sectionExpected = "[Ticket], [Limits Default], [Stage PIPELINE/STAGE] or a kind and a name, such as [Team NAME]"
)

// LoadTicket reads a ticket file; it returns the errors of ParseTicket, or an error when the file is unreadable.
func LoadTicket(path string) (config.Ticket, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config.Ticket{}, fmt.Errorf("read ticket: %w", err)
	}
	return ParseTicket(path, string(text))
}

// ParseTicket parses a ticket from text, naming file in its errors.
//
// It returns an *InvalidError with all problems that can be found without the current configuration. References to
// objects are checked when the ticket is applied.
func ParseTicket(file, text string) (config.Ticket, error) {
	document := parse(file, text)
	ticket := document.ticket()
	var invalid *config.InvalidError
	if errors.As(ticket.Validate(), &invalid) {
		document.addTicketProblems(invalid.Problems)
	}
	return ticket, asError(document.problems)
}

func (document *document) ticket() config.Ticket {
	table := document.table(ticketSection)
	table.require("Number", "a number from 1")
	table.require("Operator", "the name of the operator")
	ticket := config.Ticket{
		Number:   table.number64("Number", 0),
		Operator: table.text("Operator", ""),
		Note:     table.text("Note", ""),
	}
	table.close(oneOf("Number", "Operator", "Note"))
	stages := document.stageSections()
	for _, section := range document.names {
		ref, isObject := objectOf(section)
		if !isObject {
			document.checkSection(section, stages)
			continue
		}
		ticket.Objects = append(ticket.Objects, document.object(ref))
	}
	return ticket
}

// objectOf returns the reference of the object that a section describes; it reports false for any other section.
func objectOf(section string) (config.Ref, bool) {
	kind, name, found := strings.Cut(section, " ")
	ref := config.Ref{Kind: config.ObjectKind(kind), Name: name}
	validName := ref.Kind != config.KindLimits || name == config.LimitsName
	return ref, found && validName && ref.Kind.Known()
}

// stageSections returns the section names of all stages listed by the pipelines of the file.
func (document *document) stageSections() map[string]bool {
	sections := map[string]bool{}
	for _, section := range document.names {
		ref, isObject := objectOf(section)
		if !isObject || ref.Kind != config.KindPipeline {
			continue
		}
		for _, stage := range strings.Split(document.table(section).values["Stages"], ",") {
			sections[stageSection(ref.Name, strings.TrimSpace(stage))] = true
		}
	}
	return sections
}

// checkSection records a problem for a section without an object that is neither the ticket nor a listed stage.
func (document *document) checkSection(section string, stages map[string]bool) {
	kind, _, _ := strings.Cut(section, " ")
	switch {
	case section == ticketSection || stages[section]:
	case kind == stageKind:
		document.addProblemAt(section, "", section, "a stage that the Stages of its pipeline list in this file")
	default:
		document.addProblemAt(section, "", section, sectionExpected)
	}
}

// addTicketProblems adds the problems found by config.Ticket.Validate, except for keys that already have a problem.
func (document *document) addTicketProblems(problems []config.Problem) {
	for _, problem := range problems {
		section := problem.Object.String()
		if problem.Object.Kind == ticketSection {
			section = ticketSection
		}
		if problem.Stage != "" {
			section = stageSection(problem.Object.Name, problem.Stage)
		}
		if !document.hasProblem(section, problem.Key) {
			document.addProblemAt(section, problem.Key, problem.Found, problem.Expected)
		}
	}
}
