package daemon

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
)

// Defaults of Options.
const (
	DefaultKeepFor      = 30 * time.Second
	DefaultStoreTimeout = time.Second
)

// Options configures one daemon; Listen, DataCentre and Endpoints are required.
type Options struct {
	Name         string // part of the member identifier and of log lines
	Listen       string // IP:port, for callers, operators and peers
	Advertise    string // IP:port given to callers and peers; the listening address when empty
	DataCentre   string
	KeepFor      time.Duration // how long callers keep an address answer; 0 counts as DefaultKeepFor
	Endpoints    []string      // base URLs of the store
	StoreTimeout time.Duration // of one store call; 0 counts as DefaultStoreTimeout
	Seeds        []string      // addresses of peers to learn from when the store cannot be read at the start
	VMList       string        // URL of the platform's list of VMs, for the same purpose; may be empty
	Clock        core.Clock    // nil counts as the system clock
	Log          zerolog.Logger
	Listener     net.Listener // used instead of Listen when not nil
}

func (options Options) withDefaults() Options {
	if options.KeepFor == 0 {
		options.KeepFor = DefaultKeepFor
	}
	if options.StoreTimeout == 0 {
		options.StoreTimeout = DefaultStoreTimeout
	}
	if options.Clock == nil {
		options.Clock = core.SystemClock{}
	}
	return options
}
