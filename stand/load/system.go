package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/io/caller"
	"catkincove/io/daemon"
	"catkincove/io/entry"
	"catkincove/io/inifmt"
	"catkincove/stand/world"
)

const (
	readyTimeout       = 20 * time.Second
	pollInterval       = 50 * time.Millisecond
	clientsPerTeam     = 6 // the first daemon to try depends on the number of the client
	idleConnsPerDaemon = 512
	operator           = "load"
)

// system serves the load: either the daemons or the baseline routers.
type system interface {
	// send executes one request and calls emit with the number of tokens in each event.
	send(ctx context.Context, number int, arrival Arrival, emit func(count int)) (Answer, error)
	// setDataCentre applies the configuration of a data centre, such as its removal from service; the baseline ignores it.
	setDataCentre(ctx context.Context, dataCentre config.DataCentre) error
	close()
}

// noWaitClock is a clock without delays for callers that make a single attempt: with a real clock the client waits for
// RetryAfter before it returns the error of its last attempt, which would inflate the latency of rejected requests.
type noWaitClock struct{ core.SystemClock }

// After returns a channel that is ready at once.
func (noWaitClock) After(time.Duration) <-chan time.Time {
	ready := make(chan time.Time)
	close(ready)
	return ready
}

// fleet is a system of daemons that run in this process.
type fleet struct {
	daemons []*daemon.Daemon
	clients map[core.TeamName][]*caller.Client
	http    *http.Client
	ticket  int64
	cancel  context.CancelFunc
	done    chan error
}

func startFleet(ctx context.Context, mix Mix, platform *world.World, log zerolog.Logger) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerDaemon}
	fleet := &fleet{
		clients: map[core.TeamName][]*caller.Client{}, http: &http.Client{Transport: transport},
		cancel: cancel, done: make(chan error, len(dataCentres)),
	}
	var seeds []string
	for _, dataCentre := range dataCentres {
		started, err := fleet.start(ctx, platform, dataCentre.Name, log)
		if err != nil {
			fleet.close()
			return nil, err
		}
		seeds = append(seeds, started.Address())
	}
	for _, team := range mix.teams() {
		for number := range clientsPerTeam {
			fleet.clients[team.Name] = append(fleet.clients[team.Name], &caller.Client{
				// Rotate the list by the client's number; the daemons' own address list follows a hash of the client names,
				// and so few names would load the daemons unevenly.
				Seeds: append(seeds[number%len(seeds):len(seeds):len(seeds)], seeds[:number%len(seeds)]...),
				Team:  string(team.Name), Name: fmt.Sprintf("%s-%d", team.Name, number),
				MaxAttempts: 1, SeedsOnly: true, HTTP: fleet.http, Clock: noWaitClock{},
			})
		}
	}
	if err := fleet.prepare(ctx, mix.objects(platform)); err != nil {
		fleet.close()
		return nil, err
	}
	return fleet, nil
}

func (fleet *fleet) start(ctx context.Context, platform *world.World, dataCentre string, log zerolog.Logger) (*daemon.Daemon, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	started, err := daemon.New(daemon.Options{
		Name: dataCentre, Listener: listener, DataCentre: dataCentre, KeepFor: time.Second,
		Endpoints: []string{"http://" + platform.StoreServer.Address()}, Log: log,
	})
	if err != nil {
		return nil, err
	}
	fleet.daemons = append(fleet.daemons, started)
	go func() { fleet.done <- started.Run(ctx) }()
	return started, nil
}

// prepare applies the configuration objects and waits until each pool has an owner with free slots.
func (fleet *fleet) prepare(ctx context.Context, objects []config.Object) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := waitUntil(ctx, "all daemons are ready", fleet.ready); err != nil {
		return err
	}
	if err := fleet.apply(ctx, objects...); err != nil {
		return err
	}
	services := map[string]bool{}
	for _, object := range objects {
		if object.Service != nil {
			services[object.Service.Name] = true
		}
	}
	pools := len(services) * len(dataCentres)
	return waitUntil(ctx, "all pools have owners with free slots", func() bool { return fleet.poolsWithFreeSlots(ctx) >= pools })
}

func waitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait until %s: %w", what, ctx.Err())
		}
	}
	return nil
}

func (fleet *fleet) ready() bool {
	for _, daemon := range fleet.daemons {
		if daemon.Ready() != nil {
			return false
		}
	}
	return true
}

func (fleet *fleet) poolsWithFreeSlots(ctx context.Context) int {
	count := 0
	for _, pool := range fleet.pools(ctx) {
		if pool.Free > 0 {
			count++
		}
	}
	return count
}

func (fleet *fleet) pools(ctx context.Context) []daemon.PoolStatus {
	var pools []daemon.PoolStatus
	for _, started := range fleet.daemons {
		status, err := started.Status(ctx)
		if err != nil {
			continue
		}
		pools = append(pools, status.(daemon.Status).Pools...)
	}
	return pools
}

func (fleet *fleet) apply(ctx context.Context, objects ...config.Object) error {
	fleet.ticket++
	ticket := config.Ticket{Number: fleet.ticket, Operator: operator, Objects: objects}
	client := &caller.Client{Seeds: []string{fleet.daemons[0].Address()}, SeedsOnly: true, HTTP: fleet.http}
	data, err := client.Post(ctx, "/v1/tickets", inifmt.FormatTicket(ticket))
	if err != nil {
		return fmt.Errorf("ticket %d: %w", ticket.Number, err)
	}
	var body entry.TicketBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("ticket %d: %w", ticket.Number, err)
	}
	if strings.EqualFold(body.State, "Written") {
		return fmt.Errorf("ticket %d: not confirmed by %v", ticket.Number, body.Unconfirmed)
	}
	return nil
}

func (fleet *fleet) send(ctx context.Context, number int, arrival Arrival, emit func(count int)) (Answer, error) {
	clients := fleet.clients[arrival.Team]
	request := caller.Request{Pipeline: arrival.Kind.Pipeline, Body: entry.RequestBody{Question: arrival.Question.Text}}
	body, err := clients[number%len(clients)].Do(ctx, request, func(event caller.Event) {
		if event.Token != nil {
			emit(event.Token.Count)
		}
	})
	answer := Answer{Text: body.Answer, Stock: body.Calls["stock"]}
	for _, passage := range body.Passages {
		answer.Passages = append(answer.Passages, core.Passage{ID: passage.ID, Text: passage.Text, Score: passage.Score})
	}
	return answer, err
}

func (fleet *fleet) setDataCentre(ctx context.Context, dataCentre config.DataCentre) error {
	return fleet.apply(ctx, config.NewDataCentre(dataCentre))
}

func (fleet *fleet) close() {
	fleet.cancel()
	for range fleet.daemons {
		<-fleet.done
	}
	fleet.http.CloseIdleConnections()
}

// plainSystem consists of one baseline router for each data centre.
type plainSystem struct {
	routers []*Router
}

func startPlain(platform *world.World) *plainSystem {
	system := &plainSystem{}
	for _, dataCentre := range dataCentres {
		system.routers = append(system.routers, NewRouter(dataCentre.Name, platform))
	}
	return system
}

func (system *plainSystem) send(ctx context.Context, number int, arrival Arrival, emit func(count int)) (Answer, error) {
	return system.routers[number%len(system.routers)].Run(ctx, arrival, emit)
}

func (system *plainSystem) setDataCentre(context.Context, config.DataCentre) error { return nil }

func (system *plainSystem) close() {
	for _, router := range system.routers {
		router.client.Close()
	}
}
