package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"catkincove/core"
	"catkincove/io/meter"
)

const maxRequestBytes = 1 << 20

// Service handles the calls of other daemons.
type Service interface {
	// Heartbeat applies a peer's heartbeat and returns this daemon's own.
	Heartbeat(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error)
	// Config returns the configuration changes since the requested revision.
	Config(ctx context.Context, request core.ConfigRequest) (core.ConfigReply, error)
	// Grant decides on a grant request for a pool that this daemon owns.
	Grant(ctx context.Context, request core.GrantRequest) (core.GrantReply, error)
	// Release returns a grant to the pool that issued it.
	Release(ctx context.Context, release core.Release) error
}

// Register adds the handlers of the calls between daemons to the mux and counts the traffic of their connections.
func Register(mux *http.ServeMux, service Service, counter *meter.Counter) {
	handle(mux, counter, HeartbeatPath, func(ctx context.Context, wire wireHeartbeat) (any, error) {
		reply, err := service.Heartbeat(ctx, decodeHeartbeat(wire))
		return encodeHeartbeat(reply), err
	})
	handle(mux, counter, ConfigPath, func(ctx context.Context, wire wireConfigRequest) (any, error) {
		reply, err := service.Config(ctx, core.ConfigRequest{Since: core.Revision(wire.Since)})
		return encodeConfigReply(reply), err
	})
	handle(mux, counter, GrantPath, func(ctx context.Context, wire wireGrantRequest) (any, error) {
		reply, err := service.Grant(ctx, decodeGrantRequest(wire))
		return encodeGrantReply(reply), err
	})
	handle(mux, counter, ReleasePath, func(ctx context.Context, wire wireRelease) (any, error) {
		return struct{}{}, service.Release(ctx, decodeRelease(wire))
	})
}

func handle[T any](mux *http.ServeMux, counter *meter.Counter, path string, serve func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, request *http.Request) {
		meter.AssignFromContext(request.Context(), counter)
		var wire T
		data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
		if err == nil {
			err = json.Unmarshal(data, &wire)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := serve(request.Context(), wire)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusServiceUnavailable)
			return
		}
		encoded, err := json.Marshal(reply)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(encoded)
	})
}
