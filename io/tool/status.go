package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"catkincove/io/caller"
	"catkincove/io/daemon"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show daemons, data centres, pools and targets as the daemons see them",
		Flags: connectionFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			statuses, missing, err := fetchStatuses(ctx, newClient(command))
			if err != nil {
				return err
			}
			if wantsJSON(command) {
				return printJSON(command, statuses)
			}
			printStatuses(command, statuses, missing)
			return nil
		},
	}
}

// callAllDaemons sends a GET request for path to all daemons in the member list of the first reachable one, and returns
// their responses and the names of the unreachable ones.
func callAllDaemons(ctx context.Context, client *caller.Client, path string) (responses [][]byte, missing []string, err error) {
	data, err := client.Get(ctx, "/v1/status")
	if err != nil {
		return nil, nil, err
	}
	var first daemon.Status
	if err := json.Unmarshal(data, &first); err != nil {
		return nil, nil, fmt.Errorf("decode status: %w", err)
	}
	for _, member := range first.Members {
		response, err := client.Call(ctx, member.Address, http.MethodGet, path, "")
		if err != nil {
			missing = append(missing, member.Member)
			continue
		}
		responses = append(responses, response)
	}
	return responses, missing, nil
}

func fetchStatuses(ctx context.Context, client *caller.Client) ([]daemon.Status, []string, error) {
	responses, missing, err := callAllDaemons(ctx, client, "/v1/status")
	if err != nil {
		return nil, nil, err
	}
	statuses := make([]daemon.Status, 0, len(responses))
	for _, response := range responses {
		var status daemon.Status
		if err := json.Unmarshal(response, &status); err != nil {
			return nil, nil, fmt.Errorf("decode status: %w", err)
		}
		statuses = append(statuses, status)
	}
	return statuses, missing, nil
}

func printStatuses(command *cli.Command, statuses []daemon.Status, missing []string) {
	for _, status := range statuses {
		printf(command, "daemon %-16s %-12s revision %-6d %s%s%s active %d\n", status.Daemon, status.DataCentre, status.Revision,
			choose(status.Confirmed, "confirmed", "NOT CONFIRMED"), choose(status.Leaving, ", leaving", ""),
			choose(status.StoreOutage, ", store outage", ""), status.Active)
	}
	for _, member := range missing {
		printf(command, "daemon %s is unreachable\n", member)
	}
	if len(statuses) > 0 {
		for _, dataCentre := range statuses[0].DataCentres {
			printf(command, "data centre %-12s region %-12s %s\n", dataCentre.Name, dataCentre.Region, dataCentre.State)
		}
	}
	for _, status := range statuses {
		for _, pool := range status.Pools {
			printf(command, "pool %-24s owner %-16s free %d, waiting %d (%d ms)\n",
				pool.Pool, status.Daemon, pool.Free, pool.Waiting, pool.WaitMs)
			printTargets(command, pool.Targets)
		}
	}
}

func printTargets(command *cli.Command, targets []daemon.TargetStatus) {
	for _, target := range targets {
		printf(command, "  target %-24s %-3s %-9s limit %d of %d, running %d, external %d%s\n", target.Target, target.State,
			choose(target.Usable, "usable", "unusable"), target.Limit, target.Capacity, target.Running, target.Foreign,
			choose(target.Cold, ", cold", ""))
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
