package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/lease"
	"catkincove/core/ticket"
	"catkincove/io/codec"
	"catkincove/io/etcd"
	"catkincove/io/meter"
	"catkincove/stand/kvsrv"
	"catkincove/stand/plain"
)

const (
	anyPort      = "127.0.0.1:0"
	ticketSize   = 120 // objects; the store's transactions bound a ticket at 126
	storeTimeout = 10 * time.Second
)

// platform is the store and the targets in this process, with the bytes of their connections, headers included.
type platform struct {
	store       *kvsrv.Server
	address     string // of the store
	addresses   []string
	storeBytes  meter.Counter
	targetBytes meter.Counter
	servers     []*http.Server
	applier     ticket.Applier
	tickets     int64
}

func newPlatform(targets int) (*platform, error) {
	platform := &platform{store: kvsrv.New(kvsrv.Settings{})}
	address, err := platform.serve(platform.store, &platform.storeBytes)
	if err != nil {
		return nil, err
	}
	platform.address = address
	for number := range targets {
		handler := plain.New(fmt.Sprintf("target%04d", number), plain.Settings{})
		address, err := platform.serve(handler, &platform.targetBytes)
		if err != nil {
			platform.close()
			return nil, err
		}
		platform.addresses = append(platform.addresses, address)
	}
	client := &etcd.Client{Endpoints: []string{"http://" + platform.address}, Timeout: storeTimeout}
	platform.applier = ticket.Applier{Store: client, Codec: codec.JSON{}, Timeout: storeTimeout}
	return platform, nil
}

// serve listens on a port of its own and counts the bytes of accepted connections.
func (platform *platform) serve(handler http.Handler, counter *meter.Counter) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:   handler,
		Protocols: protocols,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			conn.(*meter.Conn).Assign(counter)
			return ctx
		},
	}
	platform.servers = append(platform.servers, server)
	go func() { _ = server.Serve(meter.Listener{Listener: listener}) }()
	return listener.Addr().String(), nil
}

func (platform *platform) close() {
	for _, server := range platform.servers {
		_ = server.Close()
	}
}

// apply writes the objects to the store in tickets of at most ticketSize, past the daemons.
func (platform *platform) apply(ctx context.Context, objects []config.Object) error {
	for len(objects) > 0 {
		part := objects[:min(ticketSize, len(objects))]
		objects = objects[len(part):]
		platform.tickets++
		next := config.Ticket{Number: platform.tickets, Operator: "bench", Objects: part}
		if _, err := platform.applier.Apply(ctx, next); err != nil {
			return fmt.Errorf("ticket %d: %w", next.Number, err)
		}
	}
	return nil
}

// owned counts the pools that have an owner in the store.
func (platform *platform) owned(pools map[core.PoolID]int) int {
	count := 0
	for pool := range pools {
		if _, found := platform.store.Value(lease.OwnerKey(pool)); found {
			count++
		}
	}
	return count
}
