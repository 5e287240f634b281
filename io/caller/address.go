package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"catkincove/core"
	"catkincove/io/entry"
)

const failurePenalty = 5 * time.Second // how long an address is deprioritized after a failure

// Addresses returns the daemons to use, best first, from the cache or, when that has expired, from a daemon.
//
// When no daemon responds, it returns the expired addresses, or an Unavailable *core.Error if there are none.
func (client *Client) Addresses(ctx context.Context) ([]string, error) {
	if client.SeedsOnly && len(client.Seeds) > 0 {
		return client.Seeds, nil
	}
	client.mutex.Lock()
	fresh := len(client.addresses) > 0 && core.Elapsed(client.refreshedAt, client.clock().Now()) < client.keepFor
	addresses := client.addresses
	client.mutex.Unlock()
	if fresh {
		return addresses, nil
	}
	return client.refresh(ctx, addresses)
}

// refresh queries the known addresses and then the seeds until one responds; if none does, it returns the known ones.
func (client *Client) refresh(ctx context.Context, known []string) ([]string, error) {
	for _, address := range append(append([]string{}, known...), client.Seeds...) {
		body, err := client.fetchAddresses(ctx, address)
		if err != nil || len(body.Addresses) == 0 {
			continue
		}
		client.mutex.Lock()
		client.addresses = body.Addresses
		client.refreshedAt = client.clock().Now()
		client.keepFor = time.Duration(body.KeepForMs) * time.Millisecond
		client.mutex.Unlock()
		return body.Addresses, nil
	}
	if len(known) > 0 {
		return known, nil
	}
	return nil, core.Errorf(core.Unavailable, "no daemon responded at %v", client.Seeds).WithRetryAfter(time.Second)
}

func (client *Client) fetchAddresses(ctx context.Context, address string) (entry.AddressBody, error) {
	var body entry.AddressBody
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	data, err := client.Call(ctx, address, http.MethodGet, "/v1/addresses?caller="+url.QueryEscape(client.Name), "")
	if err != nil {
		return body, err
	}
	return body, json.Unmarshal(data, &body)
}

// address returns the first address without a recent failure, or else the one whose failure is the least recent.
func (client *Client) address(ctx context.Context) (string, error) {
	addresses, err := client.Addresses(ctx)
	if err != nil {
		return "", err
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := client.clock().Now()
	leastRecent := addresses[0]
	maxAge := time.Duration(-1)
	for _, address := range addresses {
		failedAt, found := client.failedAt[address]
		if !found || core.Elapsed(failedAt, now) > failurePenalty {
			return address, nil
		}
		if age := core.Elapsed(failedAt, now); age > maxAge {
			leastRecent, maxAge = address, age
		}
	}
	return leastRecent, nil
}

func (client *Client) markFailed(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.failedAt == nil {
		client.failedAt = map[string]time.Time{}
	}
	client.failedAt[address] = client.clock().Now()
}
