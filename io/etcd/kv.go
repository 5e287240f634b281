package etcd

import (
	"context"
	"errors"
	"fmt"

	"catkincove/core"
)

// pageLimit is the maximum number of keys in one range call; most configuration objects are smaller than 1 KB.
const pageLimit = 500

// Get reads one key; the snapshot has no entry when it does not exist.
func (client *Client) Get(ctx context.Context, key string) (core.Snapshot, error) {
	snapshot, _, err := client.page(ctx, message{"key": encodeKey(key)})
	return snapshot, err
}

// List reads all keys with the prefix at one revision.
func (client *Client) List(ctx context.Context, prefix string) (core.Snapshot, error) {
	request := message{"key": encodeKey(prefix), "range_end": rangeEnd(prefix), "limit": encodeInt(pageLimit)}
	snapshot, more, err := client.page(ctx, request)
	for err == nil && more && len(snapshot.Entries) > 0 {
		last := snapshot.Entries[len(snapshot.Entries)-1].Key
		request["key"] = encodeKey(last + "\x00")
		request["revision"] = encodeInt(int64(snapshot.Revision))
		var next core.Snapshot
		next, more, err = client.page(ctx, request)
		snapshot.Entries = append(snapshot.Entries, next.Entries...)
	}
	return snapshot, err
}

func (client *Client) page(ctx context.Context, request message) (core.Snapshot, bool, error) {
	response, err := client.callAtRevision(ctx, "/v3/kv/range", request, true)
	if err != nil {
		return core.Snapshot{}, false, err
	}
	snapshot, err := decodeRange(response)
	if err != nil {
		return core.Snapshot{}, false, fmt.Errorf("range: %w", err)
	}
	return snapshot, response.flag("more"), nil
}

func decodeRange(response fields) (core.Snapshot, error) {
	revision, revisionErr := response.revision()
	list, listErr := response.list("kvs")
	entries, err := decodeEntries(list)
	return core.Snapshot{Revision: revision, Entries: entries}, errors.Join(revisionErr, listErr, err)
}

// Commit runs one transaction.
func (client *Client) Commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	response, err := client.callAtRevision(ctx, "/v3/kv/txn", encodeTxn(txn), false)
	if err != nil {
		return core.TxnResult{}, err
	}
	return decodeTxn(response)
}

// CommitAll runs independent transactions nested in one; each of them succeeds or fails on its own.
func (client *Client) CommitAll(ctx context.Context, txns []core.Txn) ([]core.TxnResult, error) {
	if len(txns) == 0 {
		return nil, nil
	}
	nested := make([]message, 0, len(txns))
	for _, txn := range txns {
		nested = append(nested, message{"request_txn": encodeTxn(txn)})
	}
	response, err := client.callAtRevision(ctx, "/v3/kv/txn", message{"success": nested}, false)
	if err != nil {
		return nil, err
	}
	return decodeNested(response, len(txns))
}

func decodeNested(response fields, count int) ([]core.TxnResult, error) {
	revision, err := response.revision()
	if err != nil {
		return nil, err
	}
	responses, err := response.list("responses")
	if err != nil || len(responses) != count {
		return nil, fmt.Errorf("txn: %d of %d nested responses: %w", len(responses), count, errors.Join(core.ErrStoreUnavailable, err))
	}
	results := make([]core.TxnResult, 0, count)
	for _, response := range responses {
		object, err := response.object("response_txn")
		if err != nil {
			return nil, err
		}
		result, err := decodeTxn(object)
		if err != nil {
			return nil, err
		}
		result.Revision = max(result.Revision, revision)
		results = append(results, result)
	}
	return results, nil
}

func encodeTxn(txn core.Txn) message {
	compares := make([]message, 0, len(txn.Compares))
	for _, compare := range txn.Compares {
		compares = append(compares, encodeCompare(compare))
	}
	success := make([]message, 0, len(txn.Puts)+len(txn.Deletes))
	for _, put := range txn.Puts {
		request := message{"key": encodeKey(put.Key), "value": encodeBytes(put.Value)}
		if put.Lease != 0 {
			request["lease"] = encodeInt(int64(put.Lease))
		}
		success = append(success, message{"request_put": request})
	}
	for _, key := range txn.Deletes {
		success = append(success, message{"request_delete_range": message{"key": encodeKey(key)}})
	}
	failure := make([]message, 0, len(txn.OnFailure))
	for _, key := range txn.OnFailure {
		failure = append(failure, message{"request_range": message{"key": encodeKey(key)}})
	}
	return message{"compare": compares, "success": success, "failure": failure}
}

func encodeCompare(compare core.Compare) message {
	encoded := message{"key": encodeKey(compare.Key), "result": "EQUAL"}
	switch {
	case compare.ModRevision != nil:
		encoded["target"] = "MOD"
		encoded["mod_revision"] = encodeInt(int64(*compare.ModRevision))
	case compare.CreateRevision != nil:
		encoded["target"] = "CREATE"
		encoded["create_revision"] = encodeInt(int64(*compare.CreateRevision))
	default:
		encoded["target"] = "VALUE"
		encoded["value"] = encodeBytes(compare.Value)
	}
	return encoded
}

func decodeTxn(response fields) (core.TxnResult, error) {
	revision, err := response.revision()
	result := core.TxnResult{Succeeded: response.flag("succeeded"), Revision: revision}
	if err != nil || result.Succeeded {
		return result, err
	}
	responses, err := response.list("responses")
	if err != nil {
		return result, err
	}
	for _, response := range responses {
		object, err := response.object("response_range")
		if err != nil {
			return result, err
		}
		snapshot, err := decodeRange(object)
		if err != nil {
			return result, err
		}
		result.Entries = append(result.Entries, snapshot.Entries...)
	}
	return result, nil
}
