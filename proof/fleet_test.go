package proof

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"catkincove/core/config"
	"catkincove/io/caller"
	"catkincove/io/entry"
	"catkincove/io/inifmt"
	"catkincove/stand/fault"
	"catkincove/stand/vmlist"
	"catkincove/stand/world"
)

const (
	readyTimeout   = 20 * time.Second
	requestTimeout = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
	testKeepFor    = 2 * time.Second
)

// program is the path of the catkincove program, built once by TestMain.
var program string

// otherFlag checks that two builds understand each other's messages and stored data.
var otherFlag = flag.String("other", "", "path of another build of catkincove that runs as every third daemon of a fleet")

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "catkincove-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "catkincove")
	build := exec.Command("go", "build", "-o", program, "catkincove/cmd/catkincove")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is one daemon with a proxy between it and the store and a proxy between callers or peers and it.
type process struct {
	name     string
	listen   string // address at which it is reached without the proxy
	command  *exec.Cmd
	store    *fault.Proxy
	front    *fault.Proxy
	router   *linkRouter // nil unless fleet.linkProxies is set
	log      string      // path of the log file
	exited   chan error
	markGone func() // reports the VM as gone in the platform's list of VMs
}

// fleet is a running system under test: the stand-ins of the platform and the daemons.
type fleet struct {
	t           *testing.T
	world       *world.World
	daemons     []*process
	client      *caller.Client
	lastTicket  int64
	omitVMList  bool       // daemons started from now on get no URL of the list of VMs
	passSeeds   bool       // daemons started from now on get the addresses of the running ones as seeds
	daemonLines string     // further settings of the section Daemon of daemons started from now on
	descriptors int        // limit on the open descriptors of daemons started from now on; 0 means that of the test
	linkProxies bool       // each pair of daemons has its own proxy
	mutex       sync.Mutex // guards daemons, which the goroutines of link routers read
}

// startFleet starts the platform and daemons spread over its data centres, applies the world's configuration, and waits
// until every pool has an owner.
func startFleet(t *testing.T, daemons int, options world.Options) *fleet {
	t.Helper()
	fleet := (&fleet{t: t}).begin(daemons, options)
	fleet.waitForOwners()
	return fleet
}

// startDaemons does the same as startFleet without waiting for owners of the pools.
func startDaemons(t *testing.T, daemons int, options world.Options) *fleet {
	t.Helper()
	return (&fleet{t: t}).begin(daemons, options)
}

// startLinkedFleet starts a fleet in which each pair of daemons has its own proxy.
func startLinkedFleet(t *testing.T, daemons int, options world.Options) *fleet {
	t.Helper()
	fleet := (&fleet{t: t, linkProxies: true}).begin(daemons, options)
	fleet.waitForOwners()
	return fleet
}

// begin starts the platform and the daemons, and applies the world's configuration.
func (fleet *fleet) begin(daemons int, options world.Options) *fleet {
	t := fleet.t
	t.Helper()
	reportStalls(t)
	fleet.reserve(daemons)
	ctx, cancel := context.WithCancel(context.Background())
	platform, err := world.Start(ctx, options)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	fleet.world = platform
	t.Cleanup(func() {
		for _, daemon := range fleet.daemons {
			daemon.kill()
		}
		platform.Close()
		cancel()
	})
	centres := dataCentres(platform)
	for i := range daemons {
		fleet.start(fmt.Sprintf("d%d", i+1), centres[i%len(centres)])
	}
	fleet.client = fleet.newClient("test")
	fleet.waitReady(fleet.daemons...)
	fleet.apply(platform.Config()...)
	return fleet
}

// maxDaemons limits the daemons that all parallel tests start with; daemons that a test starts later may exceed it by a
// few.
const maxDaemons = 24

var (
	daemonsMutex    sync.Mutex
	daemonsReleased = sync.NewCond(&daemonsMutex)
	daemonsReserved int
)

// reserve waits until the daemons of a test fit within maxDaemons, and counts them until the test ends.
func (fleet *fleet) reserve(daemons int) {
	daemonsMutex.Lock()
	defer daemonsMutex.Unlock()
	for daemonsReserved+daemons > maxDaemons {
		daemonsReleased.Wait()
	}
	daemonsReserved += daemons
	fleet.t.Cleanup(func() {
		daemonsMutex.Lock()
		defer daemonsMutex.Unlock()
		daemonsReserved -= daemons
		daemonsReleased.Broadcast()
	})
}

func dataCentres(platform *world.World) []string {
	var names []string
	for _, object := range platform.Config() {
		if object.DataCentre != nil {
			names = append(names, object.DataCentre.Name)
		}
	}
	return names
}

// start runs one more daemon.
func (fleet *fleet) start(name, dataCentre string) *process {
	fleet.t.Helper()
	return fleet.startWith(name, dataCentre, fault.Pass)
}

// startWith runs one more daemon, whose proxy to the store is in the mode from the start.
func (fleet *fleet) startWith(name, dataCentre string, store fault.Mode) *process {
	fleet.t.Helper()
	listen := freeAddress()
	daemon := &process{name: name, listen: listen, exited: make(chan error, 1)}
	daemon.store = fleet.proxy(fleet.world.StoreServer.Address())
	daemon.front = fleet.proxy(listen)
	if err := daemon.store.SetMode(store); err != nil {
		fleet.t.Fatal(err)
	}
	advertise := daemon.front.Address()
	if fleet.linkProxies {
		daemon.router = fleet.newLinkRouter(daemon.front)
		advertise = daemon.router.listener.Addr().String()
	}
	settings := fmt.Sprintf(`[Daemon]
Name = %s
Listen = %s
Advertise = %s
DataCentre = %s
KeepFor = %s
LogLevel = debug
LogFormat = json
%s
[Store]
Endpoints = http://%s
`, name, listen, advertise, dataCentre, testKeepFor, fleet.daemonLines, daemon.store.Address())
	if !fleet.omitVMList {
		settings += "\n[VMList]\nURL = http://" + fleet.world.ListServer.Address() + "/vms\n"
	}
	fleet.world.VMs.Set(vmlist.VM{Address: advertise, DataCentre: dataCentre, State: vmlist.Live})
	daemon.markGone = func() { fleet.world.VMs.Set(vmlist.VM{Address: advertise, State: vmlist.Gone}) }
	if fleet.passSeeds {
		settings += "\n[Peers]\nSeeds = " + strings.Join(fleet.newClient("").Seeds, ", ") + "\n"
	}
	folder := fleet.t.TempDir()
	file := filepath.Join(folder, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	daemon.command = exec.Command(fleet.nextProgram(), "serve", "--config", file)
	if fleet.descriptors > 0 {
		arguments := append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, fleet.descriptors), "sh"}, daemon.command.Args...)
		daemon.command = exec.Command("sh", arguments...)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		fleet.t.Fatal(err)
	}
	daemon.log = log.Name()
	daemon.command.Stdout, daemon.command.Stderr = log, log
	if err := daemon.command.Start(); err != nil {
		fleet.t.Fatal(err)
	}
	go func() {
		daemon.exited <- daemon.command.Wait()
		_ = log.Close()
	}()
	fleet.t.Cleanup(func() { fleet.showLog(log.Name()) })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.daemons = append(fleet.daemons, daemon)
	return daemon
}

// nextProgram returns the build that the next daemon runs. With every third daemon on the other build, a rolling
// restart of four daemons replaces each build by the other.
func (fleet *fleet) nextProgram() string {
	if *otherFlag != "" && len(fleet.daemons)%3 == 1 {
		return *otherFlag
	}
	return program
}

// showLog prints the last 4000 bytes of a daemon's log when the test has failed and CATKINCOVE_SHOW_LOGS is set.
func (fleet *fleet) showLog(file string) {
	const shown = 4000
	if !fleet.t.Failed() || os.Getenv("CATKINCOVE_SHOW_LOGS") == "" {
		return
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return
	}
	fleet.t.Logf("%s ends with:\n%s", filepath.Base(file), data[max(0, len(data)-shown):])
}

func (fleet *fleet) proxy(target string) *fault.Proxy {
	fleet.t.Helper()
	proxy, err := fault.Listen("127.0.0.1:0", target)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(proxy.Close)
	return proxy
}

// nextHost numbers the loopback addresses of daemons. Together with the process ID they are unique, so that no other
// process and no other run of the tests takes the port of one.
var nextHost atomic.Int32

// freeAddress returns a listen address for one daemon. It depends on the process ID because with the same addresses,
// two runs of these tests on one host send their requests and tickets to each other's daemons.
func freeAddress() string {
	const hosts = 250
	process, number := os.Getpid(), int(nextHost.Add(1))
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+process%hosts, process/hosts%hosts, 1+number%hosts, 7070+number/hosts)
}

func (daemon *process) address() string { return daemon.front.Address() }

func (daemon *process) signal(signal syscall.Signal) { _ = daemon.command.Process.Signal(signal) }

func (daemon *process) kill() {
	daemon.signal(syscall.SIGCONT)
	_ = daemon.command.Process.Kill()
	_ = daemon.front.SetMode(fault.Refuse) // as the kernel does for the port of a process that has exited
}

// newClient returns a client of the team fans with all running daemons as seeds.
func (fleet *fleet) newClient(name string) *caller.Client {
	client := &caller.Client{Team: "fans", Name: name}
	for _, daemon := range fleet.daemons {
		client.Seeds = append(client.Seeds, daemon.address())
	}
	return client
}

// eventually polls the condition and fails the test when it does not hold within the timeout.
func (fleet *fleet) eventually(timeout time.Duration, what string, condition func() bool) {
	fleet.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	fleet.t.Fatalf("%s: condition not met within %v", what, timeout)
}

// waitReady waits until the readiness probe of each daemon succeeds.
func (fleet *fleet) waitReady(daemons ...*process) {
	fleet.t.Helper()
	for _, daemon := range daemons {
		fleet.eventually(readyTimeout, daemon.name+" is ready", func() bool {
			response, err := http.Get("http://" + daemon.address() + "/readyz")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		})
	}
}

// waitForOwners waits until every pool has an owner with free slots.
func (fleet *fleet) waitForOwners() {
	fleet.t.Helper()
	pools := 0
	seen := map[string]bool{}
	for _, target := range fleet.world.Targets {
		if pool := target.Service + "@" + target.DataCentre; !seen[pool] {
			seen[pool] = true
			pools++
		}
	}
	fleet.eventually(readyTimeout, "all pools have owners", func() bool { return fleet.ownedPools() >= pools })
}

func (fleet *fleet) ownedPools() int {
	owned := 0
	for _, daemon := range fleet.daemons {
		count, _ := fleet.poolsOf(daemon)
		owned += count
	}
	return owned
}

// poolsOf returns the number of pools with free slots that the daemon owns.
func (fleet *fleet) poolsOf(daemon *process) (int, error) {
	owned := 0
	status, err := fleet.status(daemon)
	for _, pool := range status.Pools {
		if pool.Free > 0 {
			owned++
		}
	}
	return owned, err
}

// ownerOf returns the daemon that owns the pool and moves it to the end of the fleet, so that tickets are applied at
// another one.
func (fleet *fleet) ownerOf(pool string) *process {
	fleet.t.Helper()
	for i, daemon := range fleet.daemons {
		status, _ := fleet.status(daemon)
		for _, owned := range status.Pools {
			if owned.Pool == pool && owned.Free > 0 {
				fleet.mutex.Lock()
				defer fleet.mutex.Unlock()
				fleet.daemons = append(slices.Delete(slices.Clone(fleet.daemons), i, i+1), daemon)
				return daemon
			}
		}
	}
	fleet.t.Fatalf("%s has no owner with free slots", pool)
	return nil
}

// statusBody holds the fields of a daemon's status that the tests read.
type statusBody struct {
	Revision    int64
	Confirmed   bool
	StoreOutage bool
	DataCentres []struct{ Name, Region, State string }
	Pools       []struct {
		Pool string
		Free int
	}
}

func (fleet *fleet) status(daemon *process) (statusBody, error) {
	var status statusBody
	data, err := fleet.call(daemon, http.MethodGet, "/v1/status", "")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(data, &status)
}

func (fleet *fleet) call(daemon *process, method, path, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return client.Call(ctx, daemon.address(), method, path, body)
}

// nextTicket returns a ticket of the objects with the next unused number.
func (fleet *fleet) nextTicket(objects ...config.Object) config.Ticket {
	fleet.lastTicket++
	return config.Ticket{Number: fleet.lastTicket, Operator: "test", Objects: objects}
}

// apply applies a new ticket at the first daemon and fails the test unless it is accepted.
func (fleet *fleet) apply(objects ...config.Object) entry.TicketBody {
	fleet.t.Helper()
	body, err := fleet.applyAt(fleet.daemons[0], fleet.nextTicket(objects...))
	if err != nil {
		fleet.t.Fatal(err)
	}
	if body.State == "Written" {
		fleet.t.Fatalf("ticket %d is written but not accepted; not confirmed by %v", body.Number, body.Unconfirmed)
	}
	return body
}

func (fleet *fleet) applyAt(daemon *process, ticket config.Ticket) (entry.TicketBody, error) {
	var body entry.TicketBody
	data, err := fleet.call(daemon, http.MethodPost, "/v1/tickets", inifmt.FormatTicket(ticket))
	if err != nil {
		return body, err
	}
	return body, json.Unmarshal(data, &body)
}

// dataCentreObject returns a declaration that puts the data centre in or out of service.
func dataCentreObject(name string, state config.Placement) config.Object {
	return config.NewDataCentre(config.DataCentre{Name: name, Region: "coast", State: state})
}

// received returns the number of calls, without load reports, that the targets of a data centre have received.
func (fleet *fleet) received(dataCentre string) int {
	count := 0
	for _, target := range fleet.world.Targets {
		if target.DataCentre == dataCentre {
			count += target.Counts().Received
		}
	}
	return count
}

// receivedBy returns the number of calls, without load reports, that the targets of a service in a data centre have received.
func (fleet *fleet) receivedBy(service, dataCentre string) int {
	count := 0
	for _, target := range fleet.world.TargetsOf(service, dataCentre) {
		count += target.Counts().Received
	}
	return count
}

// crashes returns how often targets have crashed, over all targets.
func (fleet *fleet) crashes() int {
	count := 0
	for _, target := range fleet.world.Targets {
		count += target.Counts().Falls
	}
	return count
}
