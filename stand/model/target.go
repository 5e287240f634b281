package model

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"catkincove/core/config"
	"catkincove/stand/engine"
	"catkincove/stand/text"
	"catkincove/stand/wire"
)

// Defaults of the settings; the times are short, so that a demo on one VM shows a stream.
const (
	defaultServiceTime  = 3 * time.Millisecond
	defaultTokenTime    = 4 * time.Millisecond
	defaultBlockTime    = 500 * time.Microsecond
	defaultBatchSlope   = 0.02
	defaultEventTokens  = 4
	defaultAnswerTokens = 48
	defaultCacheBlocks  = 4096
)

// Settings are the properties of a model target; the zero value simulates an encoder without cold starts.
type Settings struct {
	engine.Settings
	Kind              config.ServiceKind // kind of service that the target simulates
	Models            []string           // models loaded at the start; empty accepts requests for any model
	Index             *text.Index        // index that a retriever searches; default: the sample documents
	ServiceTime       time.Duration      // duration of a request to a target that does not generate; default 3 ms
	TokenTime         time.Duration      // duration per token of the only running request; default 4 ms
	BatchSlope        float64            // fraction by which each other running request extends the token time; default 0.02
	BlockTime         time.Duration      // prefill duration per prompt block that is not cached; default 0.5 ms
	EventTokens       int                // maximum number of tokens per event; default 4
	MinAnswerTokens   int                // minimum number of tokens in an answer that max_tokens does not cut; default 48
	CacheBlocks       int                // capacity of the cache in prompt blocks; default 4096
	CacheLag          time.Duration      // delay after which cache events are reported
	EventLossInterval int                // interval of lost cache events: every n-th event is lost; 0 loses none
	ChecksFencing     bool               // whether orders with an older fencing token are rejected
	LoadTime          time.Duration      // duration of an order
}

// Target simulates one model engine; it is an http.Handler and safe for concurrent use.
type Target struct {
	*engine.Engine
	settings Settings
	cache    cache
	mutex    sync.Mutex
	models   []string
	role     string
	fencing  int64
	orders   []Order
}

// New returns a cold target; the name is part of its start IDs.
func New(name string, settings Settings) *Target {
	settings = settings.withDefaults()
	target := &Target{Engine: engine.New(name, settings.Settings), settings: settings, models: settings.Models}
	target.cache.settings = settings
	target.OnCrash(target.cache.clear)
	return target
}

func (settings Settings) withDefaults() Settings {
	orDefault(&settings.ServiceTime, defaultServiceTime)
	orDefault(&settings.TokenTime, defaultTokenTime)
	orDefault(&settings.BlockTime, defaultBlockTime)
	orDefault(&settings.BatchSlope, defaultBatchSlope)
	orDefault(&settings.EventTokens, defaultEventTokens)
	orDefault(&settings.MinAnswerTokens, defaultAnswerTokens)
	orDefault(&settings.CacheBlocks, defaultCacheBlocks)
	if settings.Index == nil && settings.Kind == config.Retrieve {
		settings.Index = text.Sample()
	}
	return settings
}

func orDefault[Value comparable](value *Value, fallback Value) {
	var zero Value
	if *value == zero {
		*value = fallback
	}
}

// ServeHTTP serves the calls of the target protocol for the target's kind, and control calls.
func (target *Target) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if target.ServeCommon(writer, request, target.Models()) {
		return
	}
	work := map[string]engine.Work{}
	switch target.settings.Kind {
	case config.Encode:
		work["/v1/embeddings"] = target.embed
	case config.Retrieve:
		work["/search"] = target.search
	case config.Rerank:
		work["/v1/rerank"] = target.rerank
	case config.Generate:
		work["/v1/completions"] = target.complete
	}
	path := request.URL.Path
	switch {
	case path == "/cache/events":
		target.BlockIfFrozen(request)
		engine.EchoRequest(writer, request)
		after, _ := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
		wire.Reply(writer, http.StatusOK, wire.Object{"events": target.cache.eventsAfter(after)})
	case path == "/orders" && request.Method == http.MethodPost:
		target.BlockIfFrozen(request)
		target.serveOrder(writer, request)
	case work[path] != nil && request.Method == http.MethodPost:
		target.Serve(writer, request, work[path])
	default:
		http.NotFound(writer, request)
	}
}
