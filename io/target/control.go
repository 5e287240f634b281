package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"catkincove/core"
)

var actionNames = map[core.OrderAction]string{
	core.LoadModel:     "load_model",
	core.UnloadModel:   "unload_model",
	core.LoadAdapter:   "load_adapter",
	core.UnloadAdapter: "unload_adapter",
	core.ChangeRole:    "change_role",
}

// Load returns the target's load report.
func (client *Client) Load(ctx context.Context, address string) (core.LoadReport, error) {
	client.init()
	data, err := client.control(ctx, client.reports, client.ControlTimeout, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return core.LoadReport{}, err
	}
	// Fields without tags match JSON keys without regard to case; no Go field name matches age_ms.
	var report struct {
		Start                      string
		Running, Waiting, Capacity int
		Models                     []string
	}
	var age map[string]json.RawMessage
	if err := json.Unmarshal(data, &report); err != nil {
		return core.LoadReport{}, core.Errorf(core.TargetFailed, "load report of %s: %w", address, err)
	}
	if err := json.Unmarshal(data, &age); err != nil {
		return core.LoadReport{}, core.Errorf(core.TargetFailed, "load report of %s: %w", address, err)
	}
	milliseconds, _ := strconv.ParseFloat(string(age["age_ms"]), 64)
	return core.LoadReport{
		StartID:  report.Start,
		Running:  report.Running,
		Waiting:  report.Waiting,
		Capacity: report.Capacity,
		Models:   report.Models,
		Age:      time.Duration(milliseconds * float64(time.Millisecond)),
	}, nil
}

// CacheEvents returns the events after the sequence number; the first is later than after+1 when events are missing.
func (client *Client) CacheEvents(ctx context.Context, address string, after int64) ([]core.CacheEvent, error) {
	client.init()
	url := "http://" + address + "/cache/events?after=" + strconv.FormatInt(after, 10)
	data, err := client.control(ctx, client.reports, client.ControlTimeout, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	var response struct {
		Events []struct {
			Sequence int64
			Block    string
			Stored   bool
		}
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, core.Errorf(core.TargetFailed, "cache events of %s: %w", address, err)
	}
	events := make([]core.CacheEvent, 0, len(response.Events))
	for _, event := range response.Events {
		block, err := strconv.ParseUint(event.Block, 16, 64)
		if err != nil {
			return nil, core.Errorf(core.TargetFailed, "cache events of %s: block %q: %w", address, event.Block, err)
		}
		events = append(events, core.CacheEvent{Sequence: event.Sequence, Block: block, Stored: event.Stored})
	}
	return events, nil
}

// Order sends a load, unload or role change order; a stale fencing token returns an *Error of kind Conflict.
func (client *Client) Order(ctx context.Context, address string, order core.Order) error {
	client.init()
	body, err := json.Marshal(map[string]any{
		"action":  actionNames[order.Action],
		"name":    order.Name,
		"version": order.Version,
		"fencing": order.Fencing,
	})
	if err != nil {
		return core.Errorf(core.Internal, "encoding an order: %w", err)
	}
	timeout := order.Timeout
	setDefault(&timeout, client.ControlTimeout)
	_, err = client.control(ctx, client.orders, timeout, http.MethodPost, "http://"+address+"/orders", body)
	return err
}

func (client *Client) control(ctx context.Context, transport http.RoundTripper, timeout time.Duration, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, core.Errorf(core.Internal, "building the request to %s: %w", url, err)
	}
	request.GetBody = nil // keeps net/http from sending an order twice
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, core.Errorf(core.TargetFailed, "%s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, client.MaxBody+1))
	if err != nil || int64(len(data)) > client.MaxBody {
		return nil, core.Errorf(core.TargetFailed, "%s: response is incomplete or too long: %w", url, err)
	}
	return data, controlError(url, response.StatusCode)
}

func controlError(url string, status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return core.Errorf(core.Conflict, "%s: fencing token is stale", url)
	default:
		return core.Errorf(core.TargetFailed, "%s: status %d", url, status)
	}
}
