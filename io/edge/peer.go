package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"catkincove/core"
	"catkincove/core/batch"
	"catkincove/core/blame"
)

const (
	peerDialTimeout = 600 * time.Millisecond // below pingTimeout, so that a dead machine shows as such
	peerConnections = 64                     // kept to each daemon; stages of one request each hold one while they wait
	peerIdle        = 30 * time.Second       // of a kept connection; pings come once a second at least
	replyLife       = 50 * time.Millisecond  // of the answer to pings; forecasts change within a call of 200 ms and more
	copyTimeout     = time.Second            // of a whole configuration from a peer
	maxPeerBody     = 16 << 20               // bytes; a copy holds the whole configuration
)

// Paths between daemons.
const (
	pathPing   = "/peer/ping"
	pathCopies = "/peer/copies"
	pathPieces = "/peer/pieces"
	pathPlace  = "/peer/place"
	pathRead   = "/peer/read"
	pathFree   = "/peer/free"
)

// forecastAt is a forecast with the time at which it came.
type forecastAt struct {
	batch.Forecast
	at time.Time
}

// pingReply is what a daemon tells the others twice a second.
type pingReply struct {
	Record    record
	Leaving   bool
	Forecasts map[string]batch.Forecast // of the services whose batches it sends
	Sends     []string                  // services whose batches it sends or whose prompts it places
	Losses    []blame.Loss
}

func (daemon *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPing, daemon.answerPing)
	mux.HandleFunc("GET "+pathCopies, daemon.answerCopies)
	mux.HandleFunc("POST "+pathPieces, daemon.answerPieces)
	mux.HandleFunc("POST "+pathFree, daemon.answerFree)
	mux.HandleFunc("POST "+pathPlace, daemon.answerPlace)
	mux.HandleFunc("POST "+pathRead, daemon.answerRead)
	return mux
}

// pingReply returns what this daemon tells others, made anew at most every replyLife.
func (daemon *Daemon) pingReply() pingReply {
	var reply pingReply
	daemon.do(func() {
		now := daemon.clock.Now()
		control := &daemon.control
		if now.Sub(control.repliedAt) > replyLife || control.reply.Leaving != daemon.leaving.Load() {
			control.reply, control.repliedAt = daemon.newReply(now), now
		}
		reply = control.reply
	})
	return reply
}

// newReply must run on the loop.
func (daemon *Daemon) newReply(now time.Time) pingReply {
	reply := pingReply{
		Record: daemon.self(), Leaving: daemon.leaving.Load(), Losses: daemon.control.ledger.Losses(now),
		Forecasts: map[string]batch.Forecast{},
	}
	for service := range daemon.view.Load().routing.Services {
		if daemon.sends(now, service) {
			reply.Sends = append(reply.Sends, service)
		}
	}
	for service, sender := range daemon.control.pools {
		if sender.used(now) {
			reply.Forecasts[service] = sender.forecast(now)
		}
	}
	return reply
}

func (daemon *Daemon) answerPing(writer http.ResponseWriter, request *http.Request) {
	var caller pingReply
	if !readJSON(writer, request, &caller) {
		return
	}
	daemon.loop.Post(func() { daemon.heard(caller) })
	writeJSON(writer, daemon.pingReply())
}

// heard takes over what another daemon says of itself; it must run on the loop.
func (daemon *Daemon) heard(reply pingReply) {
	if reply.Record.ID == daemon.id || reply.Record.ID == "" {
		return
	}
	now := daemon.clock.Now()
	known := daemon.meet(now, reply.Record)
	if known.ID != reply.Record.ID {
		// Another run of the daemon answers at the address: calls to the earlier one have failed.
		known.cancel()
		known.calls, known.cancel = context.WithCancel(context.Background())
		known.record, known.forecasts = reply.Record, map[string]forecastAt{}
	}
	known.answered, known.asked, known.failed, known.leaving = now, time.Time{}, false, reply.Leaving
	if known.silent {
		known.silent = false
		daemon.log.Info().Str(eventField, eventPeerReturned).Str("Peer", string(known.ID)).Msg("daemon answers again")
	}
	known.sends = map[string]bool{}
	for _, service := range reply.Sends {
		known.sends[service] = true
	}
	for service, forecast := range reply.Forecasts {
		known.forecasts[service] = forecastAt{Forecast: forecast, at: now}
	}
	for _, loss := range reply.Losses {
		daemon.control.ledger.Add(now, loss)
	}
}

// pingPeers asks the daemons that this one depends on four times a second whether they live, and the others once.
func (daemon *Daemon) pingPeers(ctx context.Context) error {
	for round := 0; core.Pause(ctx, daemon.clock, pingEvery); round++ {
		daemon.loop.Post(func() {
			needed := map[string]bool{}
			for service := range daemon.view.Load().routing.Services {
				if known := daemon.senderOf(service); known != nil {
					needed[known.Peer] = true
				}
			}
			for i, address := range daemon.peerAddresses() {
				rounds := pingRounds
				if needed[address] {
					rounds = 1
					if len(daemon.control.peers) >= largeFleet {
						rounds = largePingRounds
					}
				}
				if (round+i)%rounds == 0 {
					go daemon.ping(address)
				}
			}
		})
	}
	return ctx.Err()
}

func (daemon *Daemon) ping(address string) {
	daemon.do(func() {
		if known := daemon.control.peers[address]; known != nil && known.asked.IsZero() {
			known.asked = daemon.clock.Now()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply pingReply
	err := daemon.callPeer(ctx, address, pathPing, daemon.pingReply(), &reply)
	daemon.loop.Post(func() {
		if err != nil {
			daemon.unheard(address, err)
			return
		}
		daemon.heard(reply)
	})
}

// unheard notes a call that failed; calls in progress end when the daemon has been silent for long. It must run on the
// loop.
func (daemon *Daemon) unheard(address string, err error) {
	now := daemon.clock.Now()
	daemon.metrics.peerErrors.Add(1)
	known := daemon.control.peers[address]
	if known == nil || known.answered.IsZero() || !known.suspect(now, daemon.suspectAfter()) {
		return
	}
	known.cancel()
	known.calls, known.cancel = context.WithCancel(context.Background())
	if !known.silent {
		known.silent = true
		daemon.log.Warn().Str(eventField, eventPeerSilent).Str("Peer", string(known.ID)).Dur("SilentFor", known.silence(now)).Err(err).Msg("daemon is passed over")
	}
}

// avoid passes over a daemon at once, until it answers a ping; it must run on the loop.
func (daemon *Daemon) avoid(known *peer, err error) {
	if !known.failed {
		known.failed = true
		daemon.log.Warn().Str(eventField, eventPeerFailed).Str("Peer", string(known.ID)).Err(err).Msg("daemon is passed over until it answers a ping")
	}
}

func (daemon *Daemon) callPeer(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return daemon.exchangePeer(request, reply)
}

func (daemon *Daemon) exchangePeer(request *http.Request, reply any) error {
	response, err := daemon.peers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBody))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", request.URL.Path, response.StatusCode)
	}
	return json.Unmarshal(data, reply)
}

// fetchCopies asks a daemon for what changed in its copies since the revisions.
func (daemon *Daemon) fetchCopies(ctx context.Context, address string, since [3]core.Revision) ([3]core.Snapshot, error) {
	var snapshots [3]core.Snapshot
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	target := "http://" + address + pathCopies + "?"
	for _, revision := range since {
		target += "Since=" + strconv.FormatInt(int64(revision), 10) + "&"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return snapshots, err
	}
	return snapshots, daemon.exchangePeer(request, &snapshots)
}

func (daemon *Daemon) answerCopies(writer http.ResponseWriter, request *http.Request) {
	since := request.URL.Query()["Since"]
	var snapshots [3]core.Snapshot
	daemon.do(func() {
		for i, copy := range daemon.copies() {
			known := int64(0)
			if i < len(since) {
				known, _ = strconv.ParseInt(since[i], 10, 64) // an unreadable revision asks for everything
			}
			if int64(copy.Revision()) > known {
				snapshots[i] = copy.Snapshot()
			}
		}
	})
	writeJSON(writer, snapshots)
}

func readJSON(writer http.ResponseWriter, request *http.Request, message any) bool {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxPeerBody))
	if err == nil {
		err = json.Unmarshal(data, message)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
