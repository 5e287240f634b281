package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"catkincove/core"
)

// Compare says in words what changes for callers when one configuration replaces another, and names an error if the new one would not replace it.
func Compare(inForce, next core.RoutingOptions) (changes []string, findings []Finding) {
	if next.Version <= inForce.Version {
		findings = append(findings, Finding{Failure, "version", "version", fmt.Sprintf("version %d is not above the one in force, %d", next.Version, inForce.Version)})
	}
	changes = append(changes, compareAll("route", routesByPlace(inForce), routesByPlace(next), compareRoutes)...)
	changes = append(changes, compareAll("service", servicesByName(inForce), servicesByName(next), compareServices)...)
	changes = append(changes, compareTeams(inForce, next)...)
	changes = append(changes, compareAll("limits", map[string]core.RequestLimits{"on requests": inForce.RequestLimits}, map[string]core.RequestLimits{"on requests": next.RequestLimits}, compareLimits)...)
	return changes, findings
}

// compareAll compares entries that both configurations have under the same key, and names the others as added or removed.
func compareAll[Entry any](kind string, before, after map[string]Entry, compare func(before, after Entry) []string) []string {
	var changes []string
	for _, key := range slices.Sorted(maps.Keys(before)) {
		next, found := after[key]
		if !found {
			changes = append(changes, fmt.Sprintf("%s %s: removed", kind, key))
			continue
		}
		if differences := compare(before[key], next); len(differences) > 0 {
			changes = append(changes, fmt.Sprintf("%s %s: %s", kind, key, strings.Join(differences, "; ")))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if _, found := before[key]; !found {
			changes = append(changes, fmt.Sprintf("%s %s: added", kind, key))
		}
	}
	return changes
}

// routesByPlace returns the routes that can match, by host and prefix.
func routesByPlace(options core.RoutingOptions) map[string]core.Route {
	routes := map[string]core.Route{}
	for _, route := range options.Routes {
		if key := route.Host + " " + route.Prefix; routes[key].Host == "" {
			routes[key] = route
		}
	}
	return routes
}

func servicesByName(options core.RoutingOptions) map[string]core.ServiceSpec {
	services := map[string]core.ServiceSpec{}
	for _, service := range options.Services {
		services[service.Name] = service
	}
	return services
}

// differences collects the fields in which two entries differ.
type differences []string

func (differences *differences) field(name string, before, after any) {
	if before, after := fmt.Sprint(before), fmt.Sprint(after); before != after {
		*differences = append(*differences, fmt.Sprintf("%s %s instead of %s", name, after, before))
	}
}

func compareRoutes(before, after core.Route) []string {
	var differences differences
	differences.field("name", before.Name, after.Name)
	differences.field("kind", kindOf(before), kindOf(after))
	differences.field("time limit", before.Timeout, after.Timeout)
	differences.field("latency objective", before.LatencyObjective, after.LatencyObjective)
	differences.field("objective for gaps", before.GapObjective, after.GapObjective)
	differences.field("priority", before.Priority, after.Priority)
	differences.field("targets per request", before.MaxTargets, after.MaxTargets)
	differences.field("credential", credentialOf(before), credentialOf(after))
	differences.field("services", sharesOf(before), sharesOf(after))
	differences.field("stages", stagesOf(before), stagesOf(after))
	return differences
}

// kindOf names what may happen with a request of the route.
func kindOf(route core.Route) string {
	switch {
	case route.Stream && route.Resumable:
		return "resumable streams"
	case route.Stream:
		return "streams that run once"
	case route.Repeat == core.Idempotent:
		return "requests that may be repeated"
	}
	return "requests that run once"
}

func credentialOf(route core.Route) string {
	if route.Public {
		return "not needed"
	}
	return "needed"
}

// sharesOf returns the services with their part of the requests.
func sharesOf(route core.Route) string {
	total := 0
	for _, share := range route.Services {
		total += max(share.Weight, 0)
	}
	var shares []string
	for _, share := range route.Services {
		if share.Weight > 0 {
			shares = append(shares, fmt.Sprintf("%s %.3g%%", share.Service, 100*float64(share.Weight)/float64(total)))
		}
	}
	return cmp.Or(strings.Join(shares, " + "), "none")
}

func stagesOf(route core.Route) string {
	var stages []string
	for i, stage := range route.Stages {
		stages = append(stages, fmt.Sprintf("%d %s after %v with %d bytes", i, stage.Service, stage.After, stage.ResultBytes))
	}
	return cmp.Or(strings.Join(stages, ", "), "none")
}

func compareServices(before, after core.ServiceSpec) []string {
	var differences differences
	differences.field("connections per target", before.MaxConnections, after.MaxConnections)
	differences.field("rate of a cold target", before.ColdRate, after.ColdRate)
	differences.field("batches", valueOf(before.Batch), valueOf(after.Batch))
	differences.field("engines", valueOf(before.Engine), valueOf(after.Engine))
	return differences
}

func compareLimits(before, after core.RequestLimits) []string {
	var differences differences
	differences.field("bytes of a head", before.HeaderBytes, after.HeaderBytes)
	differences.field("bytes of a body", before.BodyBytes, after.BodyBytes)
	differences.field("time for a head", before.HeaderTimeout, after.HeaderTimeout)
	differences.field("idle time", before.IdleTimeout, after.IdleTimeout)
	return differences
}

func valueOf[Spec any](spec *Spec) string {
	if spec == nil {
		return "none"
	}
	return fmt.Sprintf("%+v", *spec)
}

// compareTeams compares teams by name; credentials are counted and not printed.
func compareTeams(inForce, next core.RoutingOptions) []string {
	if (inForce.Teams == nil) != (next.Teams == nil) {
		if next.Teams == nil {
			return []string{"teams: credentials are no longer asked for"}
		}
		return []string{"teams: credentials are asked for"}
	}
	return compareAll("team", teamsByName(inForce), teamsByName(next), func(before, after core.TeamCredentials) []string {
		var differences differences
		differences.field("priority", priorityOf(before.Team), priorityOf(after.Team))
		if removed := missing(before.Credentials, after.Credentials); removed > 0 {
			differences = append(differences, fmt.Sprintf("%d credentials removed: callers that use them get 401", removed))
		}
		if added := missing(after.Credentials, before.Credentials); added > 0 {
			differences = append(differences, fmt.Sprintf("%d credentials added", added))
		}
		return differences
	})
}

func teamsByName(options core.RoutingOptions) map[string]core.TeamCredentials {
	teams := map[string]core.TeamCredentials{}
	for _, team := range options.TeamList {
		teams[string(team.Team.Name)] = team
	}
	return teams
}

func priorityOf(team core.TeamSpec) string {
	if !team.HasPriority {
		return "of the route"
	}
	return fmt.Sprint(team.Priority)
}

// missing returns how many of the credentials are not among the others.
func missing(credentials, others []string) int {
	count := 0
	for _, credential := range credentials {
		if !slices.Contains(others, credential) {
			count++
		}
	}
	return count
}
