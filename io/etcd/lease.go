package etcd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"catkincove/core"
)

// GrantLease creates a lease with the TTL, rounded up to whole seconds.
func (client *Client) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	response, err := client.call(ctx, "/v3/lease/grant", message{"TTL": encodeInt(seconds)}, false)
	if err != nil {
		return 0, err
	}
	lease, err := response.number("ID")
	if err == nil && lease == 0 {
		err = fmt.Errorf("lease grant: response without ID: %w", core.ErrStoreUnavailable)
	}
	return core.LeaseID(lease), err
}

// KeepAlive renews a lease and returns its TTL, or ErrLeaseNotFound when the lease has expired.
func (client *Client) KeepAlive(ctx context.Context, lease core.LeaseID) (time.Duration, error) {
	response, err := client.call(ctx, "/v3/lease/keepalive", message{"ID": encodeInt(int64(lease))}, true)
	if err != nil {
		return 0, err
	}
	if content, found := response["error"]; found {
		return 0, statusError("/v3/lease/keepalive", http.StatusInternalServerError, content)
	}
	result, err := response.object("result")
	if err != nil {
		return 0, err
	}
	if renewed, err := result.number("ID"); err != nil || renewed != int64(lease) {
		return 0, fmt.Errorf("lease %d: response names lease %d: %w", lease, renewed, errors.Join(core.ErrStoreUnavailable, err))
	}
	seconds, err := result.number("TTL")
	if err != nil {
		return 0, err
	}
	if seconds <= 0 {
		return 0, fmt.Errorf("lease %d: %w", lease, core.ErrLeaseNotFound)
	}
	return time.Duration(seconds) * time.Second, nil
}

// RevokeLease ends a lease and deletes its keys.
func (client *Client) RevokeLease(ctx context.Context, lease core.LeaseID) error {
	_, err := client.callAtRevision(ctx, "/v3/lease/revoke", message{"ID": encodeInt(int64(lease))}, true)
	return err
}
