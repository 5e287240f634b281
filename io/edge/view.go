package edge

import (
	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/flow"
	"catkincove/core/place"
)

// view is an immutable summary of the routing and the targets, replaced when either changes.
type view struct {
	routing     core.Routing
	routingFrom source
	targets     map[string][]place.Target // by service; without draining targets and those in an evacuated data centre
	addresses   map[string]bool           // addresses of all registered targets
	byID        map[string]string         // address of each registered target; without superseded ones
	superseded  map[string]string         // by ID of a target that has ended: the one that has started at its address since
	contested   map[string]bool           // IDs of targets that another daemon may count as superseded, by what it has copied from this one
	services    map[string]string         // service by target address
	dataCentres map[string]string         // data centre by target address
	runs        map[string]flow.TargetRun // by target address
}

// source is where a daemon has a change of its copies from: the store, or another daemon.
type source struct {
	daemon     string // peer address; empty for the store
	generation int    // of the messages of that daemon
}

var fromStore = source{}

func (source source) log(event *zerolog.Event) *zerolog.Event {
	if source == fromStore {
		return event.Str("From", "Store")
	}
	return event.Str("From", source.daemon).Int("FromGeneration", source.generation)
}
