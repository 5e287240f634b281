package vmlist

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkincove/stand/wire"
)

// The states of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "" // state of a VM that was removed from the list
)

// VM is one entry in the list of VMs.
type VM struct {
	Address    string
	DataCentre string
	State      string
}

type change struct {
	at time.Time
	vm VM
}

// List is the list of VMs; it is an http.Handler and its zero value is empty and without lag.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	changes []change
}

// New returns an empty list that shows each change after the lag has passed.
func New(lag time.Duration) *List { return &List{lag: lag} }

// SetLag sets the lag of all changes, earlier ones included.
func (list *List) SetLag(lag time.Duration) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.lag = lag
}

// Set adds or updates the VM with this address, or removes it when its state is Gone.
func (list *List) Set(vm VM) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.changes = append(list.changes, change{time.Now(), vm})
}

// VMs returns the list that is visible after the lag, sorted by address.
func (list *List) VMs() []VM {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	visible := map[string]VM{}
	for _, change := range list.changes {
		if time.Since(change.at) >= list.lag {
			visible[change.vm.Address] = change.vm
		}
	}
	maps.DeleteFunc(visible, func(_ string, vm VM) bool { return vm.State == Gone })
	vms := make([]VM, 0, len(visible))
	for _, address := range slices.Sorted(maps.Keys(visible)) {
		vms = append(vms, visible[address])
	}
	return vms
}

// ServeHTTP serves GET /vms, and POST /control/vms with Address, DataCentre and State.
func (list *List) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method + " " + request.URL.Path {
	case "GET /vms":
		vms := []wire.Object{}
		for _, vm := range list.VMs() {
			vms = append(vms, wire.Object{"address": vm.Address, "data_centre": vm.DataCentre, "state": vm.State})
		}
		wire.Reply(writer, http.StatusOK, wire.Object{"vms": vms})
	case "POST /control/vms":
		var vm VM
		body, _ := io.ReadAll(request.Body)
		if err := wire.Unmarshal(body, &vm); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		list.Set(vm)
		wire.Reply(writer, http.StatusOK, vm)
	default:
		http.NotFound(writer, request)
	}
}
