package tool

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/io/inifmt"
)

func checkCommand(parts Parts) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check settings of serve and edge, tickets, and routings of the platform before they are sent",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "file with the routing in force, to say what a new one changes"},
			&cli.StringFlag{Name: "store", Usage: "address (IP:port) of the platform's store, to read the routing in force from"},
			&cli.StringFlag{Name: "output", Usage: "text or json, for routings", Value: outputText, Validator: validateOutput},
		},
		Description: "Tickets are applied in the order of their numbers to an empty configuration, and the result is checked for\n" +
			"dangling references. Every problem is printed with file, line, section, key, what was found and what was expected.\n" +
			"Of a routing, which is a file in JSON, it also finds entries that can never match and limits that contradict each other,\n" +
			"and with --against or --store what changes for callers. The exit code is 1 if a routing has findings.",
		Action: func(ctx context.Context, command *cli.Command) error {
			files := command.Args().Slice()
			if len(files) == 0 {
				return errors.New("check needs at least one file")
			}
			return checkFiles(ctx, command, parts, files)
		},
	}
}

func checkFiles(ctx context.Context, command *cli.Command, parts Parts, files []string) error {
	var problems []error
	var tickets []fileTicket
	found := false
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			problems = append(problems, fmt.Errorf("read file: %w", err))
			continue
		}
		if isRouting(data) {
			err := reviewRouting(ctx, command, parts, file, data)
			if found = found || err == errFindings; err != nil && err != errFindings {
				problems = append(problems, err)
			}
			continue
		}
		ticket, isTicket, err := checkFile(file, string(data))
		if err != nil {
			problems = append(problems, err)
			continue
		}
		if isTicket {
			tickets = append(tickets, fileTicket{file, ticket})
		}
		printf(command, "%s: ok\n", file)
	}
	if len(problems) == 0 && len(tickets) > 0 {
		if err := checkTickets(tickets); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) > 0 {
		return core.Errorf(core.BadRequest, "%w", errors.Join(problems...))
	}
	if found {
		return errFindings
	}
	return nil
}

// checkFile parses a file with a [Ticket] section as a ticket, one with an [Edge] section as settings of edge, and any
// other as settings of serve; it returns the ticket and whether the file is one, or all problems of the file.
func checkFile(file, text string) (config.Ticket, bool, error) {
	if hasSection(text, "Ticket") {
		ticket, err := inifmt.ParseTicket(file, text)
		return ticket, true, err
	}
	if hasSection(text, "Edge") {
		_, err := inifmt.ParseEdge(file, text)
		return config.Ticket{}, false, err
	}
	_, err := inifmt.ParseSettings(file, text)
	return config.Ticket{}, false, err
}

func hasSection(text, name string) bool {
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) == "["+name+"]" {
			return true
		}
	}
	return false
}

// fileTicket is a ticket and the file from which it was read.
type fileTicket struct {
	file   string
	ticket config.Ticket
}

// checkTickets applies the tickets to an empty configuration and validates the result.
//
// The tickets may be in any order: config.Config.With keeps the object with the higher ticket number.
func checkTickets(tickets []fileTicket) error {
	var result config.Config
	numbers := map[int64]fileTicket{}
	for _, entry := range tickets {
		ticket := entry.ticket
		if other, used := numbers[ticket.Number]; used && other.ticket.Hash() != ticket.Hash() {
			return fmt.Errorf("%s and %s: both have ticket number %d, with different content", other.file, entry.file, ticket.Number)
		}
		numbers[ticket.Number] = entry
		objects := make([]config.Object, 0, len(ticket.Objects))
		for _, object := range ticket.Objects {
			objects = append(objects, object.WithTicket(ticket.Number))
		}
		result = result.With(objects, core.Revision(len(numbers)))
	}
	return result.Validate()
}
