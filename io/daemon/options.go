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
	Name         string // part of the member ID and of log lines
	Listen       string // IP:port, for callers, operators and peers
	Advertise    string // IP:port given to callers and peers; the listening address when empty
	DataCentre   string
	KeepFor      time.Duration // how long callers may use the addresses in a response; 0 means DefaultKeepFor
	Endpoints    []string      // base URLs of the store
	StoreTimeout time.Duration // timeout of one store call; 0 means DefaultStoreTimeout
	Seeds        []string      // addresses of peers to copy state from if the store cannot be read at startup
	VMList       string        // URL of the platform's list of VMs, to find peers and terminated members; may be empty
	MemoryMB     int           // memory available to the process; 0 means 256
	Descriptors  int           // limit on the descriptors of the process; 0 means that of the operating system
	Clock        core.Clock    // nil means the system clock
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
