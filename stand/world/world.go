package world

import (
	"context"
	"fmt"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/stand/engine"
	"catkincove/stand/kvsrv"
	"catkincove/stand/model"
	"catkincove/stand/plain"
	"catkincove/stand/vmlist"
	"catkincove/stand/wire"
)

const (
	defaultTargets = 2
	anyPort        = "127.0.0.1:0"
)

// Options are the size and settings of the platform; the zero value has two data centres with two targets of each service.
type Options struct {
	DataCentres          []config.DataCentre                              // default: north and south in one region
	TargetsPerDataCentre map[string]int                                   // targets in each data centre by service; default 2
	Store                kvsrv.Settings                                   // settings of the store
	ListLag              time.Duration                                    // lag of the list of VMs
	Model                func(service string, settings *model.Settings)   // edits the settings of model targets
	Plain                func(service string, settings *plain.Settings)   // edits the settings of plain services
	Wrap                 func(service, dataCentre, address string) string // returns the address to declare, such as a proxy of the target
}

// World is a running platform.
type World struct {
	Store       *kvsrv.Server
	StoreServer *wire.Server
	VMs         *vmlist.List
	ListServer  *wire.Server
	Targets     []*Target
	dataCentres []config.DataCentre
	settings    map[string]engine.Settings
	closeOnce   sync.Once
}

// Target is one running target; exactly one of Model and Plain is set.
type Target struct {
	*engine.Engine
	Name       core.TargetName
	Service    string
	DataCentre string
	Address    string // address in Config, which is that of a proxy when Options.Wrap returned one
	Server     *wire.Server
	Model      *model.Target
	Plain      *plain.Service
}

// Start starts the platform, which runs until Close or until ctx is done.
func Start(ctx context.Context, options Options) (*World, error) {
	if len(options.DataCentres) == 0 {
		options.DataCentres = []config.DataCentre{{Name: "north", Region: "coast"}, {Name: "south", Region: "coast"}}
	}
	world := &World{
		Store: kvsrv.New(options.Store), VMs: vmlist.New(options.ListLag),
		dataCentres: options.DataCentres, settings: map[string]engine.Settings{},
	}
	if err := world.start(options); err != nil {
		world.Close()
		return nil, err
	}
	context.AfterFunc(ctx, world.Close)
	return world, nil
}

func (world *World) start(options Options) (err error) {
	if world.StoreServer, err = wire.Listen(anyPort, world.Store); err != nil {
		return err
	}
	if world.ListServer, err = wire.Listen(anyPort, world.VMs); err != nil {
		return err
	}
	for _, service := range services {
		for _, dataCentre := range options.DataCentres {
			if err := world.startPool(options, service, dataCentre.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (world *World) startPool(options Options, service config.Service, dataCentre string) error {
	count, isSet := options.TargetsPerDataCentre[service.Name]
	if !isSet {
		count = defaultTargets
	}
	for number := range count {
		name := fmt.Sprintf("%s-%s-%d", service.Name, dataCentre, number+1)
		target := &Target{Name: core.TargetName(name), Service: service.Name, DataCentre: dataCentre}
		if err := world.startTarget(options, service, target); err != nil {
			return fmt.Errorf("starting %s: %w", name, err)
		}
		target.Address = target.Server.Address()
		if options.Wrap != nil {
			target.Address = options.Wrap(service.Name, dataCentre, target.Address)
		}
		world.Targets = append(world.Targets, target)
	}
	return nil
}

func (world *World) startTarget(options Options, service config.Service, target *Target) (err error) {
	if service.Kind == config.Call {
		settings := plain.Settings{Settings: engine.Settings{Capacity: service.Capacity}}
		if options.Plain != nil {
			options.Plain(service.Name, &settings)
		}
		world.settings[service.Name] = settings.Settings
		target.Plain = plain.New(string(target.Name), settings)
		target.Engine = target.Plain.Engine
		target.Server, err = wire.Listen(anyPort, target.Plain)
		return err
	}
	settings := model.Settings{Kind: service.Kind, Models: []string{service.Model}, Settings: engine.Settings{
		Capacity: service.Capacity, HardLimit: 4 * service.Capacity, MaxColdRunning: maxColdRunning, WarmAfter: warmAfter,
	}}
	if options.Model != nil {
		options.Model(service.Name, &settings)
	}
	world.settings[service.Name] = settings.Settings
	target.Model = model.New(string(target.Name), settings)
	target.Engine = target.Model.Engine
	target.Server, err = wire.Listen(anyPort, target.Model)
	return err
}

// TargetsOf returns the targets of a service in a data centre, or in all data centres when dataCentre is empty.
func (world *World) TargetsOf(service, dataCentre string) []*Target {
	var found []*Target
	for _, target := range world.Targets {
		if target.Service == service && (dataCentre == "" || target.DataCentre == dataCentre) {
			found = append(found, target)
		}
	}
	return found
}

// Target returns the target with the name, or nil.
func (world *World) Target(name core.TargetName) *Target {
	for _, target := range world.Targets {
		if target.Name == name {
			return target
		}
	}
	return nil
}

// TakeDown takes all targets of a data centre down, as a power failure does, until BringUp.
func (world *World) TakeDown(dataCentre string) {
	for _, target := range world.Targets {
		if target.DataCentre == dataCentre {
			target.Halt()
		}
	}
}

// BringUp restarts the targets of a data centre after TakeDown; they start cold.
func (world *World) BringUp(dataCentre string) {
	for _, target := range world.Targets {
		if target.DataCentre == dataCentre {
			target.Resume()
		}
	}
}

// Close stops all targets and servers; further calls do nothing.
func (world *World) Close() {
	world.closeOnce.Do(func() {
		for _, target := range world.Targets {
			target.Halt()
			target.Server.Close()
		}
		for _, server := range []*wire.Server{world.ListServer, world.StoreServer} {
			if server != nil {
				server.Close()
			}
		}
	})
}
