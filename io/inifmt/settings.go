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
	DefaultName         = "catkincove"
	DefaultListen       = "127.0.0.1:7070"
	DefaultKeepFor      = 30 * time.Second
	DefaultLogLevel     = "info"
	DefaultLogFormat    = "json"
	DefaultStoreTimeout = core.DefaultStoreRTT
)

// Allowed ranges in Settings.
const (
	minKeepFor      = time.Second
	maxKeepFor      = 10 * time.Minute
	minStoreTimeout = 10 * time.Millisecond
	maxStoreTimeout = 10 * time.Second
)

// Settings are the settings of the serve command.
type Settings struct {
	Daemon DaemonSettings
	Store  StoreSettings
	VMList VMListSettings
	Peers  PeersSettings
}

// DaemonSettings describe the daemon itself.
type DaemonSettings struct {
	Name        string        // name in logs; default DefaultName
	Listen      string        // IP:port; the port may be 0; default DefaultListen
	Advertise   string        // IP:port that others connect to; default Listen
	DataCentre  string        // required
	KeepFor     time.Duration // how long callers may cache addresses; default DefaultKeepFor
	LogLevel    string        // debug, info, warn or error; default DefaultLogLevel
	MemoryMB    int           // memory available to the process; 0 means DefaultMemoryMB
	Descriptors int           // limit on the descriptors of the process; 0 means that of the operating system
	LogFormat   string        // json or console; default DefaultLogFormat
}

// StoreSettings describe the key-value store.
type StoreSettings struct {
	Endpoints []string      // http URLs; required
	Timeout   time.Duration // of one call; default DefaultTimeout
}

// VMListSettings describe the platform's list of VMs.
type VMListSettings struct {
	URL string // http URL; empty means that the platform has no such list
}

// PeersSettings list the addresses at which a daemon finds its first peer while the store is unavailable.
type PeersSettings struct {
	Seeds []string // IP:port of each seed; may be empty
}

// LoadSettings reads a settings file; it returns the errors of ParseSettings, or an error when the file is unreadable.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, string(text))
}

// ParseSettings parses settings from text, naming file in its errors; it returns an *InvalidError with all problems.
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
			document.addProblemAt(section, "", section, "one of the sections "+strings.Join(known, ", "))
		}
	}
	return settings, asError(document.problems)
}

func (table *table) daemon() DaemonSettings {
	table.require("DataCentre", "the name of the data centre of this daemon")
	daemon := DaemonSettings{
		Name:        table.name("Name", DefaultName),
		Listen:      table.listen(),
		DataCentre:  table.name("DataCentre", ""),
		KeepFor:     table.durationBetween("KeepFor", DefaultKeepFor, minKeepFor, maxKeepFor),
		LogLevel:    table.option("LogLevel", DefaultLogLevel, "debug", "info", "warn", "error"),
		MemoryMB:    table.number("MemoryMB", 0),
		Descriptors: table.number("Descriptors", 0),
		LogFormat:   table.option("LogFormat", DefaultLogFormat, "json", "console"),
	}
	daemon.Advertise = table.advertise(daemon.Listen)
	table.close(oneOf("Name", "Listen", "Advertise", "DataCentre", "KeepFor", "LogLevel", "LogFormat", "MemoryMB", "Descriptors"))
	return daemon
}

func (table *table) store() StoreSettings {
	table.require("Endpoints", "a list of http URLs separated by commas")
	store := StoreSettings{
		Endpoints: table.list("Endpoints"),
		Timeout:   table.durationBetween("Timeout", DefaultStoreTimeout, minStoreTimeout, maxStoreTimeout),
	}
	for _, endpoint := range store.Endpoints {
		if path, valid := httpURL(endpoint); !valid || strings.Trim(path, "/") != "" {
			table.addProblem("Endpoints", endpoint, "an http URL without path, such as http://10.0.0.1:2379")
		}
	}
	table.close(oneOf("Endpoints", "Timeout"))
	return store
}

func (table *table) vmList() VMListSettings {
	list := VMListSettings{URL: table.text("URL", "")}
	if _, valid := httpURL(list.URL); list.URL != "" && !valid {
		table.addProblem("URL", list.URL, "an http URL")
	}
	table.close(oneOf("URL"))
	return list
}

func (table *table) peers() PeersSettings {
	peers := PeersSettings{Seeds: table.list("Seeds")}
	for _, seed := range peers.Seeds {
		if !config.ValidAddress(seed) {
			table.addProblem("Seeds", seed, "IP:port")
		}
	}
	table.close(oneOf("Seeds"))
	return peers
}

func (table *table) name(key, fallback string) string {
	name := table.text(key, fallback)
	if name != "" && !config.ValidName(name) {
		table.addProblem(key, name, "letters, digits, '-', '_' or '.', starting with a letter or digit")
	}
	return name
}

// listen accepts port 0 and unspecified addresses, which are valid for listening but cannot be connected to.
func (table *table) listen() string {
	listen := table.text("Listen", DefaultListen)
	if _, err := netip.ParseAddrPort(listen); err != nil {
		table.addProblem("Listen", listen, "IP:port")
	}
	return listen
}

func (table *table) advertise(listen string) string {
	advertise := table.text("Advertise", "")
	if advertise == "" {
		if address, err := netip.ParseAddrPort(listen); err == nil && address.Addr().IsUnspecified() {
			table.addProblem("Advertise", "", "IP:port, because Listen is "+listen)
		}
		return listen
	}
	if !config.ValidAddress(advertise) {
		table.addProblem("Advertise", advertise, "IP:port")
	}
	return advertise
}

func (table *table) durationBetween(key string, fallback, minimum, maximum time.Duration) time.Duration {
	duration := table.duration(key, fallback)
	if (duration < minimum || duration > maximum) && !table.document.hasProblem(table.section, key) {
		table.addProblem(key, duration.String(), fmt.Sprintf("a duration from %s to %s", minimum, maximum))
	}
	return duration
}

func (table *table) option(key, fallback string, options ...string) string {
	option := table.text(key, fallback)
	if !slices.Contains(options, option) {
		table.addProblem(key, option, "one of "+strings.Join(options, ", "))
	}
	return option
}

// httpURL returns the path of a URL and whether it has the scheme http, a host, and no user, query or fragment.
func httpURL(text string) (string, bool) {
	parsed, err := url.Parse(text)
	if err != nil {
		return "", false
	}
	noExtras := parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == ""
	return parsed.Path, parsed.Scheme == "http" && parsed.Hostname() != "" && noExtras
}
