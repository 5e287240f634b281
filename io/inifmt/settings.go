package inifmt

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Defaults of Settings.
const (
	DefaultName      = "catkincove"
	DefaultListen    = "127.0.0.1:7070"
	DefaultKeepFor   = 30 * time.Second
	DefaultLogLevel  = "info"
	DefaultLogFormat = "json"
	DefaultTimeout   = core.DefaultStoreRTT
)

// Bounds of Settings.
const (
	minKeepFor = time.Second
	maxKeepFor = 10 * time.Minute
	minTimeout = 10 * time.Millisecond
	maxTimeout = 10 * time.Second
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon DaemonSettings
	Store  StoreSettings
	VMList VMListSettings
	Peers  PeersSettings
}

// DaemonSettings describe the daemon itself.
type DaemonSettings struct {
	Name       string        // in logs; default DefaultName
	Listen     string        // IP:port; the port may be 0; default DefaultListen
	Advertise  string        // IP:port that others connect to; default Listen
	DataCentre string        // required
	KeepFor    time.Duration // for which callers may cache addresses; default DefaultKeepFor
	LogLevel   string        // debug, info, warn or error; default DefaultLogLevel
	LogFormat  string        // json or console; default DefaultLogFormat
}

// StoreSettings describe the key-value service.
type StoreSettings struct {
	Endpoints []string      // http URLs; required
	Timeout   time.Duration // of one call; default DefaultTimeout
}

// VMListSettings describe the platform's list of VMs.
type VMListSettings struct {
	URL string // http URL; empty means that there is no list
}

// PeersSettings describe where to find a first peer without the store.
type PeersSettings struct {
	Seeds []string // IP:port each; may be empty
}

// LoadSettings reads a settings file; see ParseSettings for its errors.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, string(text))
}

// ParseSettings reads settings from the text of the named file; it returns an *InvalidError with all faults.
func ParseSettings(file, text string) (Settings, error) {
	document := parse(file, text)
	settings := Settings{
		Daemon: document.table("Daemon").daemon(),
		Store:  document.table("Store").store(),
		VMList: document.table("VMList").vmList(),
		Peers:  document.table("Peers").peers(),
	}
	known := []string{"Daemon", "Store", "VMList", "Peers"}
	for _, section := range document.names {
		if !slices.Contains(known, section) {
			document.faultAt(section, "", section, "one of the sections "+strings.Join(known, ", "))
		}
	}
	return settings, asError(document.problems)
}

func (table *table) daemon() DaemonSettings {
	table.require("DataCentre", "the name of the data centre of this daemon")
	daemon := DaemonSettings{
		Name:       table.name("Name", DefaultName),
		Listen:     table.listen(),
		DataCentre: table.name("DataCentre", ""),
		KeepFor:    table.bounded("KeepFor", DefaultKeepFor, minKeepFor, maxKeepFor),
		LogLevel:   table.word("LogLevel", DefaultLogLevel, "debug", "info", "warn", "error"),
		LogFormat:  table.word("LogFormat", DefaultLogFormat, "json", "console"),
	}
	daemon.Advertise = table.advertise(daemon.Listen)
	table.close(oneOf("Name", "Listen", "Advertise", "DataCentre", "KeepFor", "LogLevel", "LogFormat"))
	return daemon
}

func (table *table) store() StoreSettings {
	table.require("Endpoints", "a list of http URLs separated by commas")
	store := StoreSettings{
		Endpoints: table.list("Endpoints"),
		Timeout:   table.bounded("Timeout", DefaultTimeout, minTimeout, maxTimeout),
	}
	for _, endpoint := range store.Endpoints {
		if path, valid := httpURL(endpoint); !valid || strings.Trim(path, "/") != "" {
			table.fault("Endpoints", endpoint, "an http URL without path, such as http://10.0.0.1:2379")
		}
	}
	table.close(oneOf("Endpoints", "Timeout"))
	return store
}

func (table *table) vmList() VMListSettings {
	list := VMListSettings{URL: table.text("URL", "")}
	if _, valid := httpURL(list.URL); list.URL != "" && !valid {
		table.fault("URL", list.URL, "an http URL")
	}
	table.close(oneOf("URL"))
	return list
}

func (table *table) peers() PeersSettings {
	peers := PeersSettings{Seeds: table.list("Seeds")}
	for _, seed := range peers.Seeds {
		if !config.ValidAddress(seed) {
			table.fault("Seeds", seed, "IP:port")
		}
	}
	table.close(oneOf("Seeds"))
	return peers
}

func (table *table) name(key, fallback string) string {
	name := table.text(key, fallback)
	if name != "" && !config.ValidName(name) {
		table.fault(key, name, "letters, digits, '-', '_' or '.', starting with a letter or digit")
	}
	return name
}

// listen accepts port 0 and unspecified addresses, which make sense only for listening.
func (table *table) listen() string {
	listen := table.text("Listen", DefaultListen)
	if _, err := netip.ParseAddrPort(listen); err != nil {
		table.fault("Listen", listen, "IP:port")
	}
	return listen
}

func (table *table) advertise(listen string) string {
	advertise := table.text("Advertise", "")
	if advertise == "" {
		if address, err := netip.ParseAddrPort(listen); err == nil && address.Addr().IsUnspecified() {
			table.fault("Advertise", "", "IP:port, because Listen is "+listen)
		}
		return listen
	}
	if !config.ValidAddress(advertise) {
		table.fault("Advertise", advertise, "IP:port")
	}
	return advertise
}

func (table *table) bounded(key string, fallback, least, most time.Duration) time.Duration {
	duration := table.duration(key, fallback)
	if (duration < least || duration > most) && !table.document.hasFault(table.section, key) {
		table.fault(key, duration.String(), fmt.Sprintf("a duration from %s to %s", least, most))
	}
	return duration
}

func (table *table) word(key, fallback string, words ...string) string {
	word := table.text(key, fallback)
	if !slices.Contains(words, word) {
		table.fault(key, word, "one of "+strings.Join(words, ", "))
	}
	return word
}

// httpURL returns the path of the URL and whether it is one with the scheme http, a host and nothing else.
func httpURL(text string) (string, bool) {
	parsed, err := url.Parse(text)
	if err != nil {
		return "", false
	}
	plain := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == ""
	return parsed.Path, parsed.Scheme == "http" && parsed.Hostname() != "" && plain
}
