package model

import (
	"io"
	"net/http"
	"slices"
	"time"

	"catkincove/stand/wire"
)

// Order is a command to load or unload a model or an adapter, or to change the role, that the target received.
type Order struct {
	Action, Name, Version string
	Fencing               int64
	Rejected              bool
	Time                  time.Time
}

// Models returns the names of the loaded models and adapters.
func (target *Target) Models() []string {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return append([]string{}, target.models...)
}

// Role returns the role that the last role change set.
func (target *Target) Role() string {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.role
}

// Orders returns the received orders, rejected ones included, from oldest to newest.
func (target *Target) Orders() []Order {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return slices.Clone(target.orders)
}

func (target *Target) serveOrder(writer http.ResponseWriter, request *http.Request) {
	order := Order{Time: time.Now()}
	body, _ := io.ReadAll(request.Body)
	if err := wire.Unmarshal(body, &order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	target.mutex.Lock()
	order.Rejected = target.settings.ChecksFencing && order.Fencing < target.fencing
	target.fencing = max(target.fencing, order.Fencing)
	target.orders = append(target.orders, order)
	target.mutex.Unlock()
	if order.Rejected {
		http.Error(writer, "stale fencing token", http.StatusConflict)
		return
	}
	time.Sleep(target.settings.LoadTime)
	target.applyOrder(order)
	wire.Reply(writer, http.StatusOK, wire.Object{})
}

func (target *Target) applyOrder(order Order) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	kept := slices.DeleteFunc(slices.Clone(target.models), func(name string) bool { return name == order.Name })
	switch order.Action {
	case "load_model", "load_adapter":
		target.models = append(kept, order.Name)
	case "unload_model", "unload_adapter":
		target.models = kept
	case "change_role":
		target.role = order.Name
	}
}
