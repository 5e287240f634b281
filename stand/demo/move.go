package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core/config"
	"catkincove/io/caller"
	"catkincove/io/entry"
)

const evacuatedDataCentre = "south"

// load sends lookup requests at a fixed interval until it is stopped.
type load struct {
	sent   atomic.Int64
	failed atomic.Int64
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func (demo *demo) startLoad(ctx context.Context) *load {
	ctx, cancel := context.WithCancel(ctx)
	load := &load{cancel: cancel}
	load.group.Go(func() {
		ticker := time.NewTicker(loadInterval)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
				client := demo.localClients[number%len(demo.localClients)]
				load.group.Go(func() { load.lookup(client) })
			case <-ctx.Done():
				return
			}
		}
	})
	return load
}

func (load *load) lookup(client *caller.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	load.sent.Add(1)
	request := caller.Request{Pipeline: "lookup", Body: entry.RequestBody{Question: "how many racks are left?"}}
	if _, err := client.Do(ctx, request, func(caller.Event) {}); err != nil {
		load.failed.Add(1)
	}
}

func (load *load) stop() (sent, failed int64) {
	load.cancel()
	load.group.Wait()
	return load.sent.Load(), load.failed.Load()
}

// moveDataCentre takes a data centre out of service while requests run, brings it back, and checks that no lookup fails.
func (demo *demo) moveDataCentre(ctx context.Context) error {
	load := demo.startLoad(ctx)
	if err := demo.setPlacement(ctx, 2, config.Out); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before := demo.received(evacuatedDataCentre)
	time.Sleep(observeTime)
	during := demo.received(evacuatedDataCentre) - before
	demo.printLine("data centre %s is out: %d new calls to its targets in the %v that follow %v after the ticket",
		evacuatedDataCentre, during, observeTime, settleTime)
	if err := demo.setPlacement(ctx, 3, config.In); err != nil {
		return err
	}
	time.Sleep(observeTime)
	afterReturn := demo.received(evacuatedDataCentre) - before
	sent, failed := load.stop()
	demo.printLine("data centre %s is back: %d calls in %v; of %d lookups meanwhile %d failed",
		evacuatedDataCentre, afterReturn, observeTime, sent, failed)
	switch {
	case during != 0:
		return fmt.Errorf("%d calls went to a data centre that was out", during)
	case afterReturn == 0:
		return fmt.Errorf("no call went to the data centre after it came back")
	case failed != 0:
		return fmt.Errorf("%d of %d lookups failed", failed, sent)
	}
	return nil
}

func (demo *demo) setPlacement(ctx context.Context, number int64, state config.Placement) error {
	object := config.NewDataCentre(config.DataCentre{Name: evacuatedDataCentre, Region: "coast", State: state})
	body, err := demo.apply(ctx, config.Ticket{Number: number, Operator: "demo", Objects: []config.Object{object}})
	if err != nil {
		return err
	}
	demo.printLine("ticket %d: data centre %s %s, %s", number, evacuatedDataCentre, state, body.State)
	return nil
}

// received returns the number of calls, without load reports, that the targets of a data centre have received.
func (demo *demo) received(dataCentre string) int {
	count := 0
	for _, target := range demo.world.Targets {
		if target.DataCentre == dataCentre {
			count += target.Counts().Received
		}
	}
	return count
}
