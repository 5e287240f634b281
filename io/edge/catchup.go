package edge

import (
	"context"
	"math"
	"net/http"
	"time"

	"catkincove/core"
)

const (
	maxRoutingLag           = 600 * time.Millisecond  // time for which another daemon may have a newer routing before it is copied from there; a watch takes a tenth
	largeFleetMaxRoutingLag = 1200 * time.Millisecond // maxRoutingLag in a large fleet, where routings come through two relays
)

// catchUp copies the routing from a daemon that has had a newer one for a while.
//
// A daemon cannot tell from its own copies that they have stopped: a watch may hear nothing, or the store may be a backup from before the routing was
// written. Versions of routings order them whatever the store, the revision or the build.
func (daemon *Daemon) catchUp(ctx context.Context) {
	var address string
	daemon.do(func() { address = daemon.newerRoutingAt(daemon.clock.Now()) })
	if address != "" {
		daemon.copyRouting(ctx, address)
	}
}

// newerRoutingAt returns the address of a daemon whose routing is newer than the one in force and has been for a while, or an empty text; it must run on the loop.
func (daemon *Daemon) newerRoutingAt(now time.Time) string {
	var newest *peer
	for _, known := range daemon.control.peers {
		if known.routingVersion > daemon.view.Load().routing.Version && !daemon.isSuspect(now, known) && (newest == nil || known.routingVersion > newest.routingVersion) {
			newest = known
		}
	}
	lag := maxRoutingLag
	if len(daemon.control.peers) >= largeFleet {
		lag = largeFleetMaxRoutingLag
	}
	switch {
	case newest == nil:
		daemon.control.behindSince = time.Time{}
		return ""
	case daemon.control.behindSince.IsZero():
		daemon.control.behindSince = now
		return ""
	case now.Sub(daemon.control.behindSince) < lag:
		return ""
	}
	return newest.Peer
}

// routingReply is the routing in force at a daemon, as the operator wrote it. Its copies may hold an older one, of a store that was restored.
type routingReply struct {
	Generation int // of the daemon's messages
	Key        string
	Value      []byte
}

func (daemon *Daemon) serveRouting(writer http.ResponseWriter, _ *http.Request) {
	reply := routingReply{Generation: messageGeneration}
	daemon.do(func() { reply.Key, reply.Value = daemon.control.routingEntry.Key, daemon.control.routingEntry.Value })
	writeJSON(writer, reply)
}

// copyRouting copies the routing in force at another daemon.
func (daemon *Daemon) copyRouting(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply routingReply
	if err := daemon.callPeerWithin(ctx, relayResponseTimeout, address, pathRouting, struct{}{}, &reply); err != nil {
		daemon.metrics.peerErrors.Add(1)
		return
	}
	daemon.do(func() {
		daemon.offerRouting(core.Entry{Key: reply.Key, Value: reply.Value}, source{daemon: address, generation: reply.Generation})
	})
}

// copyRoutingInCopies copies the routing from the copies of a daemon of an older build, the revisions of which cannot be compared with those of this
// daemon. The version of the routing can; of the other keys nothing is taken.
func (daemon *Daemon) copyRoutingInCopies(ctx context.Context, address string) {
	request := copiesRequest{Since: [3]core.Revision{0, math.MaxInt64, math.MaxInt64}} // all keys of the operator, and nothing else
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply copiesReply
	if err := daemon.callPeerWithin(ctx, relayResponseTimeout, address, pathCopies, request, &reply); err != nil {
		daemon.metrics.peerErrors.Add(1)
		return
	}
	daemon.do(func() {
		for _, entry := range reply.Parts[0].Puts {
			daemon.offerRouting(entry, source{daemon: address, generation: reply.Generation})
		}
	})
}

// offerRouting puts a routing of another daemon in force if it is newer than the one in force; it must run on the loop.
func (daemon *Daemon) offerRouting(entry core.Entry, from source) {
	routing, is, err := daemon.dialect.DecodeRouting(entry.Key, entry.Value)
	if !is || err != nil || routing.Version <= daemon.view.Load().routing.Version {
		return
	}
	daemon.control.offered = offeredRouting{entry: entry, routing: routing, from: from}
	daemon.scheduleRebuild()
}

// offeredRouting is a routing that did not come through the copies; it is used if it is newer than what they hold.
type offeredRouting struct {
	entry   core.Entry
	routing core.Routing
	from    source
}
