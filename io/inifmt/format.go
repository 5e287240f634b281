package inifmt

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"catkincove/core/config"
)

// FormatTicket returns the text of a ticket file, which ParseTicket parses back to an equal ticket.
func FormatTicket(ticket config.Ticket) string {
	var writer writer
	writer.section(ticketSection)
	writer.key("Number", ticket.Number)
	writer.text("Operator", ticket.Operator)
	writer.text("Note", ticket.Note)
	for _, object := range ticket.Objects {
		writer.object(object)
	}
	return writer.String()
}

// writer builds the text of an INI file.
type writer struct {
	strings.Builder
}

func (writer *writer) section(name string) {
	if writer.Len() > 0 {
		writer.WriteByte('\n')
	}
	fmt.Fprintf(writer, "[%s]\n", name)
}

func (writer *writer) key(key string, value any) { fmt.Fprintf(writer, "%s = %v\n", key, value) }

// text writes a key unless its value is empty.
func (writer *writer) text(key, value string) {
	if value != "" {
		writer.key(key, quoteIfNeeded(value))
	}
}

// quoteIfNeeded quotes a value that would otherwise be parsed as a different text.
func quoteIfNeeded(value string) string {
	hasUnprintable := strings.ContainsFunc(value, func(char rune) bool { return !unicode.IsPrint(char) })
	if hasUnprintable || strings.TrimSpace(value) != value || strings.ContainsAny(value[:1], "\"`'") {
		return strconv.Quote(value)
	}
	return value
}

func (writer *writer) object(object config.Object) {
	writer.section(object.Ref.String())
	switch {
	case object.Deleted:
		writer.key(deleteKey, true)
	case object.Team != nil:
		writer.key("Weight", object.Team.Weight)
		writer.text("TokenSHA256", object.Team.TokenSHA256)
	case object.DataCentre != nil:
		writer.text("Region", object.DataCentre.Region)
		writer.key("State", object.DataCentre.State)
	case object.Service != nil:
		writer.service(*object.Service)
	case object.Target != nil:
		writer.target(*object.Target)
	case object.Pipeline != nil:
		writer.pipeline(*object.Pipeline)
	case object.ServiceLevel != nil:
		writer.key("Objective", object.ServiceLevel.Objective)
		writer.key("Period", object.ServiceLevel.Period)
	case object.Limits != nil:
		writer.limits(*object.Limits)
	}
}

func (writer *writer) service(service config.Service) {
	writer.key("Kind", service.Kind)
	writer.text("Model", service.Model)
	writer.text("Version", service.Version)
	writer.key("WeightBytes", service.WeightBytes)
	writer.key("Capacity", service.Capacity)
	writer.key("ColdLimit", service.ColdLimit)
	writer.key("WarmAfter", service.WarmAfter)
	writer.key("LeastTime", service.LeastTime)
	writer.key("MayRepeat", service.MayRepeat)
	writer.key("ChecksFencing", service.ChecksFencing)
}

func (writer *writer) target(target config.Target) {
	writer.text("Service", target.Service)
	writer.text("DataCentre", target.DataCentre)
	writer.text("Address", target.Address)
	writer.key("State", target.State)
}

func (writer *writer) pipeline(pipeline config.Pipeline) {
	names := make([]string, 0, len(pipeline.Stages))
	for _, stage := range pipeline.Stages {
		names = append(names, stage.Name)
	}
	writer.key("Deadline", pipeline.Deadline)
	writer.key("Stages", strings.Join(names, ", "))
	for _, stage := range pipeline.Stages {
		writer.section(stageSection(pipeline.Name, stage.Name))
		writer.stage(stage)
	}
}

func (writer *writer) stage(stage config.Stage) {
	writer.text("Service", stage.Service)
	if stage.Top != 0 {
		writer.key("Top", stage.Top)
	}
	if stage.MaxTokens != 0 {
		writer.key("MaxTokens", stage.MaxTokens)
	}
	writer.text("Path", stage.Path)
}

func (writer *writer) limits(limits config.Limits) {
	writer.key("RetriesPerRequest", limits.RetriesPerRequest)
	writer.key("RetryRatio", limits.RetryRatio)
	writer.key("QueueLength", limits.QueueLength)
	writer.key("BodyBytes", limits.BodyBytes)
	writer.key("WeightRate", limits.WeightRate)
	writer.key("SameRegionDelay", limits.SameRegionDelay)
	writer.key("OtherRegionDelay", limits.OtherRegionDelay)
}
