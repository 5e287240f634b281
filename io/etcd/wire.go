package etcd

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"catkincove/core"
)

// message is a request body, keyed by the protocol's field names.
type message map[string]any

// fields is one decoded JSON object; the gateway omits fields with zero values.
type fields map[string]json.RawMessage

func parse(data []byte) (fields, error) {
	var object fields
	err := json.Unmarshal(data, &object)
	return object, err
}

func encodeBytes(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

func encodeKey(key string) string { return encodeBytes([]byte(key)) }

func encodeInt(value int64) string { return strconv.FormatInt(value, 10) }

// rangeEnd returns the encoded first key after all keys with the prefix.
func rangeEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return encodeBytes(end[:i+1])
		}
	}
	return encodeBytes([]byte{0})
}

func (object fields) object(name string) (fields, error) {
	data, found := object[name]
	if !found {
		return fields{}, nil
	}
	return parse(data)
}

func (object fields) list(name string) ([]fields, error) {
	data, found := object[name]
	if !found {
		return nil, nil
	}
	var list []fields
	err := json.Unmarshal(data, &list)
	return list, err
}

func (object fields) text(name string) string {
	var text string
	_ = json.Unmarshal(object[name], &text)
	return text
}

func (object fields) flag(name string) bool { return string(object[name]) == "true" }

// number reads a 64-bit integer, which the gateway writes as a decimal string.
func (object fields) number(name string) (int64, error) {
	data, found := object[name]
	if !found {
		return 0, nil
	}
	text := string(data)
	if data[0] == '"' {
		text = object.text(name)
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %q: %w", name, err)
	}
	return value, nil
}

func (object fields) bytes(name string) ([]byte, error) {
	value, err := base64.StdEncoding.DecodeString(object.text(name))
	if err != nil {
		return nil, fmt.Errorf("field %q: %w", name, err)
	}
	return value, nil
}

func (object fields) revision() (core.Revision, error) {
	header, err := object.object("header")
	if err != nil {
		return 0, err
	}
	revision, err := header.number("revision")
	return core.Revision(revision), err
}

func decodeEntry(object fields) (core.Entry, error) {
	key, err := object.bytes("key")
	if err != nil {
		return core.Entry{}, err
	}
	value, err := object.bytes("value")
	if err != nil {
		return core.Entry{}, err
	}
	numbers := [3]int64{}
	for i, name := range []string{"create_revision", "mod_revision", "lease"} {
		if numbers[i], err = object.number(name); err != nil {
			return core.Entry{}, err
		}
	}
	return core.Entry{
		Key:            string(key),
		Value:          value,
		CreateRevision: core.Revision(numbers[0]),
		ModRevision:    core.Revision(numbers[1]),
		Lease:          core.LeaseID(numbers[2]),
	}, nil
}

func decodeEntries(list []fields) ([]core.Entry, error) {
	entries := make([]core.Entry, 0, len(list))
	for _, object := range list {
		entry, err := decodeEntry(object)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
