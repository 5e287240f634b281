package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"catkincove/core"
)

// Severity says what a finding means for callers.
type Severity int

// The values of Severity.
const (
	Warning Severity = iota // served otherwise than the entry says
	Failure                 // requests that the entry describes cannot be served
)

// String returns the name used in reports.
func (severity Severity) String() string {
	if severity == Failure {
		return "error"
	}
	return "warning"
}

// Finding is a problem of one entry of a configuration.
type Finding struct {
	Severity Severity
	Entry    string // the entry's place in the configuration, such as routes[2]
	Name     string // how the entry is named
	Text     string
}

// Limits are those of the daemons that a configuration has to fit.
type Limits struct {
	HeaderBytes int // largest head of a request that a daemon reads; 0 leaves the check out
}

// maxPriority is the least urgent priority that targets are told.
const maxPriority = 9

// review collects the findings of one configuration.
type review struct {
	options  core.RoutingOptions
	services map[string]core.ServiceSpec
	findings []Finding
}

// Review returns the findings of a configuration in the order of its entries.
func Review(options core.RoutingOptions, limits Limits) []Finding {
	review := &review{options: options, services: map[string]core.ServiceSpec{}}
	for _, service := range options.Services {
		review.services[service.Name] = service
	}
	review.checkRoutes()
	review.checkServices()
	review.checkTeams()
	review.checkLimits(limits)
	return review.findings
}

func (review *review) add(severity Severity, entry, name, format string, arguments ...any) {
	review.findings = append(review.findings, Finding{severity, entry, name, fmt.Sprintf(format, arguments...)})
}

// reporter adds findings of one entry.
type reporter func(severity Severity, format string, arguments ...any)

func (review *review) at(entry, name string) reporter {
	return func(severity Severity, format string, arguments ...any) {
		review.add(severity, entry, name, format, arguments...)
	}
}

func (review *review) checkRoutes() {
	type place struct{ host, prefix string }
	first := map[place]int{}
	for i, route := range review.options.Routes {
		report := review.at(fmt.Sprintf("routes[%d]", i), routeName(route))
		if covering, taken := first[place{route.Host, route.Prefix}]; taken {
			report(Failure, "never matches: routes[%d] (%s) has the same host and prefix and comes first", covering, routeName(review.options.Routes[covering]))
		} else {
			first[place{route.Host, route.Prefix}] = i
		}
		checkMatch(report, route)
		checkTimes(report, route)
		review.checkShares(report, route)
		review.checkStages(report, route)
	}
}

func routeName(route core.Route) string {
	if route.Name != "" {
		return route.Name
	}
	return route.Host + route.Prefix
}

// checkMatch finds hosts and prefixes that no request has.
func checkMatch(report reporter, route core.Route) {
	switch {
	case route.Host == "":
		report(Failure, "never matches: the host is empty")
	case strings.ContainsAny(route.Host, "/ "):
		report(Failure, "never matches: the host %q is no host name", route.Host)
	case strings.Contains(route.Host, ":") && !strings.Contains(route.Host, "::"):
		report(Failure, "never matches: the host %q has a port, which is left out of a request's host", route.Host)
	case route.Host != strings.ToLower(route.Host):
		report(Warning, "matches only requests that write the host as %q, since hosts are compared letter by letter", route.Host)
	}
	switch {
	case route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/"):
		report(Failure, "never matches: the path prefix %q does not begin with a slash", route.Prefix)
	case strings.ContainsAny(route.Prefix, "?#"):
		report(Failure, "never matches: the path prefix %q has a query or a fragment", route.Prefix)
	}
}

// checkTimes finds times and counts of a route that contradict each other.
func checkTimes(report reporter, route core.Route) {
	if route.Timeout <= 0 {
		report(Failure, "the time limit is %v", route.Timeout)
		return
	}
	if route.LatencyObjective > route.Timeout {
		report(Warning, "the latency objective %v is beyond the time limit %v", route.LatencyObjective, route.Timeout)
	}
	if route.GapObjective > route.Timeout {
		report(Warning, "the objective for gaps between events, %v, is beyond the time limit %v", route.GapObjective, route.Timeout)
	}
	if route.GapObjective > 0 && !route.Stream {
		report(Warning, "the objective for gaps between events, %v, has no effect: responses are no streams", route.GapObjective)
	}
	if route.Resumable && !route.Stream {
		report(Warning, "resumable has no effect: responses are no streams")
	}
	if route.Priority < 0 || route.Priority > maxPriority {
		report(Warning, "the priority %d is outside 0 to %d", route.Priority, maxPriority)
	}
}

// checkShares finds services of a route that are missing or get no requests.
func (review *review) checkShares(report reporter, route core.Route) {
	total := 0
	for _, share := range route.Services {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		report(Failure, "no service has a weight")
	}
	for _, share := range route.Services {
		_, known := review.services[share.Service]
		switch {
		case share.Weight < 0:
			report(Failure, "the weight of service %s is %d", share.Service, share.Weight)
		case share.Weight == 0:
			report(Warning, "service %s never gets a request: its weight is 0", share.Service)
		case !known:
			report(Failure, "service %s is not in the configuration", share.Service)
		}
	}
}

// checkStages finds stages that cannot run, and chains that take longer than the route allows.
func (review *review) checkStages(report reporter, route core.Route) {
	if len(route.Stages) == 0 || route.HasStageCycle() {
		return
	}
	shortest := make([]time.Duration, len(route.Stages)) // until the end of each stage, with one piece and without a wait
	for range route.Stages {
		for i, stage := range route.Stages {
			begin := time.Duration(0)
			for _, dependency := range stage.After {
				begin = max(begin, shortest[dependency])
			}
			if batch := review.services[stage.Service].Batch; batch != nil {
				shortest[i] = begin + batch.CallOverhead + batch.PieceTime
			}
		}
	}
	for i, stage := range route.Stages {
		service, known := review.services[stage.Service]
		switch {
		case !known:
			report(Failure, "service %s of stage %d is not in the configuration", stage.Service, i)
		case service.Batch == nil:
			report(Failure, "service %s of stage %d does not work on pieces", stage.Service, i)
		case service.Batch.MaxResultBytes > 0 && stage.ResultBytes > service.Batch.MaxResultBytes:
			report(Failure, "a result of stage %d takes %d bytes, and a target of service %s holds %d", i, stage.ResultBytes, stage.Service, service.Batch.MaxResultBytes)
		}
		for _, dependency := range stage.After {
			if before := review.services[route.Stages[dependency].Service].Batch; before != nil && service.Batch != nil && before.ResultTTL < service.Batch.CallOverhead {
				report(Warning, "results of stage %d are kept for %v, and a call of stage %d takes %v", dependency, before.ResultTTL, i, service.Batch.CallOverhead)
			}
		}
	}
	longest := slices.Max(shortest)
	switch {
	case route.Timeout > 0 && longest > route.Timeout:
		report(Failure, "no request can be served: the stages take at least %v, and the time limit is %v", longest, route.Timeout)
	case route.LatencyObjective > 0 && longest > route.LatencyObjective:
		report(Warning, "no request can be in time: the stages take at least %v, and the latency objective is %v", longest, route.LatencyObjective)
	}
}

func (review *review) checkServices() {
	used := map[string]bool{}
	for _, route := range review.options.Routes {
		for _, share := range route.Services {
			used[share.Service] = true
		}
		for _, stage := range route.Stages {
			used[stage.Service] = true
		}
	}
	first := map[string]int{}
	for i, service := range review.options.Services {
		report := review.at(fmt.Sprintf("services[%d]", i), service.Name)
		if earlier, taken := first[service.Name]; taken {
			review.add(Failure, fmt.Sprintf("services[%d]", earlier), service.Name, "has no effect: services[%d] has the same name and comes last", i)
		}
		first[service.Name] = i
		if !used[service.Name] {
			report(Warning, "no route uses it")
		}
		if service.ColdRate < 0 || service.MaxConnections < 0 {
			report(Failure, "the rate of a cold target is %v and the limit on connections %d", service.ColdRate, service.MaxConnections)
		}
		if engine := service.Engine; engine != nil && engine.Slots < 1 {
			report(Failure, "its engines have %d slots", engine.Slots)
		}
		if batch := service.Batch; batch != nil {
			if batch.MaxPieces < 1 || batch.CallOverhead < 0 || batch.PieceTime < 0 {
				report(Failure, "a call takes at most %d pieces, %v and %v for each piece", batch.MaxPieces, batch.CallOverhead, batch.PieceTime)
			}
			if batch.MaxResultBytes <= 0 || batch.ResultTTL <= 0 {
				report(Failure, "a target holds %d bytes of results for %v", batch.MaxResultBytes, batch.ResultTTL)
			}
		}
	}
}

func (review *review) checkTeams() {
	holder := map[string]int{} // the last team that lists a credential
	for i, team := range review.options.TeamList {
		for _, credential := range team.Credentials {
			holder[credential] = i
		}
	}
	for i, team := range review.options.TeamList {
		report := review.at(fmt.Sprintf("teams[%d]", i), string(team.Team.Name))
		if len(team.Credentials) == 0 {
			report(Warning, "no request belongs to it: it has no credential")
		}
		if priority := team.Team.Priority; team.Team.HasPriority && (priority < 0 || priority > maxPriority) {
			report(Warning, "the priority %d is outside 0 to %d", priority, maxPriority)
		}
		for position, credential := range team.Credentials {
			if last := holder[credential]; last != i {
				report(Failure, "credential %d belongs to %s, which lists it as well and comes later", position, review.options.TeamList[last].Team.Name)
			}
		}
	}
}

func (review *review) checkLimits(limits Limits) {
	report := review.at("limits", "limits")
	requests := review.options.RequestLimits
	if requests.HeaderBytes < 0 || requests.BodyBytes < 0 || requests.HeaderTimeout < 0 || requests.IdleTimeout < 0 {
		report(Failure, "a limit is below 0: %+v", requests)
	}
	if limits.HeaderBytes > 0 && requests.HeaderBytes > limits.HeaderBytes {
		report(Warning, "heads may have %d bytes, and daemons read at most %d", requests.HeaderBytes, limits.HeaderBytes)
	}
	if requests.IdleTimeout > 0 && requests.IdleTimeout < requests.HeaderTimeout {
		report(Warning, "connections may be idle for %v, less than the %v that a head may take", requests.IdleTimeout, requests.HeaderTimeout)
	}
}
