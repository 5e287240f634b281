package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/entry"
)

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "apply and read change tickets",
		Commands: []*cli.Command{
			{
				Name: "apply", Usage: "apply a ticket; applying it again changes nothing", ArgsUsage: "FILE",
				Flags: connectionFlags(), Action: applyTicket,
			},
			{
				Name: "show", Usage: "print a ticket as a file that can be applied", ArgsUsage: "NUMBER",
				Flags: connectionFlags(), Action: showTicket,
			},
			{Name: "list", Usage: "print the numbers of all tickets", Flags: connectionFlags(), Action: listTickets},
			{
				Name: "status", Usage: "show which daemons have a ticket in force", ArgsUsage: "NUMBER",
				Flags: connectionFlags(), Action: ticketStatus,
			},
		},
	}
}

func applyTicket(ctx context.Context, command *cli.Command) error {
	file, err := oneArgument(command, "a file")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return core.Errorf(core.BadRequest, "read ticket: %w", err)
	}
	data, err := newClient(command).Post(ctx, "/v1/tickets", string(text))
	if err != nil {
		return err
	}
	return printTicketBody(command, data)
}

func showTicket(ctx context.Context, command *cli.Command) error {
	number, err := oneArgument(command, "a ticket number")
	if err != nil {
		return err
	}
	data, err := newClient(command).Get(ctx, "/v1/tickets/"+number)
	if err != nil {
		return err
	}
	printf(command, "%s", data)
	return nil
}

func listTickets(ctx context.Context, command *cli.Command) error {
	data, err := newClient(command).Get(ctx, "/v1/tickets")
	if err != nil {
		return err
	}
	var numbers []int64
	if err := json.Unmarshal(data, &numbers); err != nil {
		return fmt.Errorf("decode ticket numbers: %w", err)
	}
	if wantsJSON(command) {
		return printJSON(command, numbers)
	}
	for _, number := range numbers {
		printf(command, "%d\n", number)
	}
	return nil
}

func ticketStatus(ctx context.Context, command *cli.Command) error {
	number, err := oneArgument(command, "a ticket number")
	if err != nil {
		return err
	}
	data, err := newClient(command).Get(ctx, "/v1/tickets/"+number+"/status")
	if err != nil {
		return err
	}
	return printTicketBody(command, data)
}

func printTicketBody(command *cli.Command, data []byte) error {
	var body entry.TicketBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if wantsJSON(command) {
		return printJSON(command, body)
	}
	printf(command, "ticket %d: %s at revision %d\n", body.Number, body.State, body.Revision)
	if body.Repeated {
		printf(command, "it had been applied before; nothing was changed\n")
	}
	printNames(command, "applied", body.Applied)
	printNames(command, "superseded by a later ticket", body.Superseded)
	printNames(command, "unchanged", body.Unchanged)
	printNames(command, "in force at", body.Confirmed)
	printNames(command, "not confirmed by", body.Unconfirmed)
	return nil
}

func printNames(command *cli.Command, label string, names []string) {
	if len(names) > 0 {
		printf(command, "%s: %s\n", label, strings.Join(names, ", "))
	}
}
