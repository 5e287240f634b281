package etcd

import (
	"context"
	"errors"
	"fmt"

	"catkincove/core"
)

// pageLimit bounds the keys of one range call; configuration objects are mostly below 1 KB.
const pageLimit = 500

// Get reads one key; the snapshot has no entry when it does not exist.
func (client *Client) Get(ctx context.Context, key string) (core.Snapshot, error) {
	snapshot, _, err := client.page(ctx, message{"key": encodeKey(key)})
	return snapshot, err
}

// List reads all keys with the prefix at one revision.
func (client *Client) List(ctx context.Context, prefix string) (core.Snapshot, error) {
	request := message{"key": encodeKey(prefix), "range_end": rangeEnd(prefix), "limit": encodeInt(pageLimit)}
	whole, more, err := client.page(ctx, request)
	for err == nil && more && len(whole.Entries) > 0 {
		last := whole.Entries[len(whole.Entries)-1].Key
		request["key"] = encodeKey(last + "\x00")
		request["revision"] = encodeInt(int64(whole.Revision))
		var next core.Snapshot
		next, more, err = client.page(ctx, request)
		whole.Entries = append(whole.Entries, next.Entries...)
	}
	return whole, err
}

func (client *Client) page(ctx context.Context, request message) (core.Snapshot, bool, error) {
	answer, err := client.call(ctx, "/v3/kv/range", request, true)
	if err != nil {
		return core.Snapshot{}, false, err
	}
	snapshot, err := decodeRange(answer)
	if err != nil {
		return core.Snapshot{}, false, fmt.Errorf("range: %w", err)
	}
	return snapshot, answer.flag("more"), nil
}

func decodeRange(answer fields) (core.Snapshot, error) {
	revision, revisionErr := answer.revision()
	list, listErr := answer.list("kvs")
	entries, err := decodeEntries(list)
	return core.Snapshot{Revision: revision, Entries: entries}, errors.Join(revisionErr, listErr, err)
}

// Commit runs one transaction.
func (client *Client) Commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	answer, err := client.call(ctx, "/v3/kv/txn", encodeTxn(txn), false)
	if err != nil {
		return core.TxnResult{}, err
	}
	return decodeTxn(answer)
}

// CommitAll runs independent transactions nested in one; each succeeds or fails by itself.
func (client *Client) CommitAll(ctx context.Context, txns []core.Txn) ([]core.TxnResult, error) {
	if len(txns) == 0 {
		return nil, nil
	}
	nested := make([]message, 0, len(txns))
	for _, txn := range txns {
		nested = append(nested, message{"request_txn": encodeTxn(txn)})
	}
	answer, err := client.call(ctx, "/v3/kv/txn", message{"success": nested}, false)
	if err != nil {
		return nil, err
	}
	return decodeNested(answer, len(txns))
}

func decodeNested(answer fields, count int) ([]core.TxnResult, error) {
	revision, err := answer.revision()
	if err != nil {
		return nil, err
	}
	responses, err := answer.list("responses")
	if err != nil || len(responses) != count {
		return nil, fmt.Errorf("txn: %d of %d nested answers: %w", len(responses), count, errors.Join(core.ErrStoreUnavailable, err))
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

func decodeTxn(answer fields) (core.TxnResult, error) {
	revision, err := answer.revision()
	result := core.TxnResult{Succeeded: answer.flag("succeeded"), Revision: revision}
	if err != nil || result.Succeeded {
		return result, err
	}
	responses, err := answer.list("responses")
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
