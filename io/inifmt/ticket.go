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

// LoadTicket reads a ticket file; see ParseTicket for its errors.
func LoadTicket(path string) (config.Ticket, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config.Ticket{}, fmt.Errorf("read ticket: %w", err)
	}
	return ParseTicket(path, string(text))
}

// ParseTicket reads a ticket from the text of the named file.
//
// It returns an *InvalidError with all faults that are visible in the ticket alone. References to objects are checked
// when the ticket is applied.
func ParseTicket(file, text string) (config.Ticket, error) {
	document := parse(file, text)
	ticket := document.ticket()
	var faulty *config.InvalidError
	if errors.As(ticket.Validate(), &faulty) {
		document.adopt(faulty.Problems)
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

// objectOf returns the object that a section describes; false for any other section.
func objectOf(section string) (config.Ref, bool) {
	kind, name, found := strings.Cut(section, " ")
	ref := config.Ref{Kind: config.ObjectKind(kind), Name: name}
	named := ref.Kind != config.KindLimits || name == config.LimitsName
	return ref, found && named && ref.Kind.Known()
}

// stageSections returns the sections of the stages that the pipelines of the file list.
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

// checkSection notes a fault of a section that is neither the ticket, nor an object, nor a listed stage.
func (document *document) checkSection(section string, stages map[string]bool) {
	kind, _, _ := strings.Cut(section, " ")
	switch {
	case section == ticketSection || stages[section]:
	case kind == stageKind:
		document.faultAt(section, "", section, "a stage that the Stages of its pipeline list in this file")
	default:
		document.faultAt(section, "", section, sectionExpected)
	}
}

// adopt adds the faults that the ticket found in itself, except for keys already reported.
func (document *document) adopt(problems []config.Problem) {
	for _, problem := range problems {
		section := problem.Object.String()
		if problem.Object.Kind == ticketSection {
			section = ticketSection
		}
		if problem.Stage != "" {
			section = stageSection(problem.Object.Name, problem.Stage)
		}
		if !document.hasFault(section, problem.Key) {
			document.faultAt(section, problem.Key, problem.Found, problem.Expected)
		}
	}
}
