package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"catkincove/core"
	"catkincove/io/tool"
	"catkincove/io/xchg"
	plat "catkincove/platform"
	"catkincove/stand/demo"
)

const (
	storeDialTimeout = 600 * time.Millisecond
	watchDebounce    = 200 * time.Millisecond // merges changes that arrive in quick succession
)

// parts are the users' platform and the demo's stand-ins.
var parts = tool.Parts{
	Dialect: plat.Dialect{},
	Format:  plat.Dialect{},
	Store: func(address string, clock core.Clock) core.Store {
		return &plat.Store{Address: address, Clock: clock, WatchInterval: watchDebounce, HTTP: storeClient()}
	},
	Demo: func(ctx context.Context, options tool.DemoOptions, output io.Writer) error {
		return demo.Run(ctx, demo.Options(options), output)
	},
}

// storeClient returns the HTTP client for the platform's store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: xchg.Dialer(storeDialTimeout).DialContext, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: xchg.MaxHeadBytes,
	}}
}
