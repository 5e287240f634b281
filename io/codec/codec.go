package codec

import (
	"encoding/json"
	"fmt"
	"strings"

	"catkincove/core"
	"catkincove/core/config"
)

// JSON implements config.Codec; its zero value is ready to use.
type JSON struct{}

var _ config.Codec = JSON{}

// EncodeObject returns the value that the store keeps for an object.
func (JSON) EncodeObject(object config.Object) ([]byte, error) { return EncodeObject(object) }

// DecodeObject is the inverse of EncodeObject; it returns an error for invalid JSON and unknown fields.
func (JSON) DecodeObject(value []byte) (config.Object, error) { return DecodeObject(value) }

// EncodeTicket returns the value that the store keeps for a ticket.
func (JSON) EncodeTicket(ticket config.Ticket) ([]byte, error) { return EncodeTicket(ticket) }

// DecodeTicket is the inverse of EncodeTicket; it returns an error for invalid JSON and unknown fields.
func (JSON) DecodeTicket(value []byte) (config.Ticket, error) { return DecodeTicket(value) }

// ObjectKey returns the key under which the store keeps an object.
func (JSON) ObjectKey(ref config.Ref) string { return ObjectKey(ref) }

// ParseObjectKey is the inverse of ObjectKey; it reports false for a key that does not name an object.
func (JSON) ParseObjectKey(key string) (config.Ref, bool) { return ParseObjectKey(key) }

// EncodeObject returns the JSON text of an object.
func EncodeObject(object config.Object) ([]byte, error) {
	value, err := json.Marshal(toWire(object))
	if err != nil {
		return nil, fmt.Errorf("encode object %s: %w", object.Ref, err)
	}
	return value, nil
}

// DecodeObject is the inverse of EncodeObject; it returns an error for invalid JSON and unknown fields.
func DecodeObject(value []byte) (config.Object, error) {
	var wire wireObject
	if err := decodeStrict(value, &wire); err != nil {
		return config.Object{}, fmt.Errorf("decode object: %w", err)
	}
	return fromWire(wire)
}

// EncodeTicket returns the JSON text of a ticket.
func EncodeTicket(ticket config.Ticket) ([]byte, error) {
	wire := wireTicket{Number: ticket.Number, Operator: ticket.Operator, Note: ticket.Note}
	for _, object := range ticket.Objects {
		wire.Objects = append(wire.Objects, toWire(object))
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode ticket %d: %w", ticket.Number, err)
	}
	return value, nil
}

// DecodeTicket is the inverse of EncodeTicket; it returns an error for invalid JSON and unknown fields.
func DecodeTicket(value []byte) (config.Ticket, error) {
	var wire wireTicket
	if err := decodeStrict(value, &wire); err != nil {
		return config.Ticket{}, fmt.Errorf("decode ticket: %w", err)
	}
	ticket := config.Ticket{Number: wire.Number, Operator: wire.Operator, Note: wire.Note}
	for _, wireObject := range wire.Objects {
		object, err := fromWire(wireObject)
		if err != nil {
			return config.Ticket{}, fmt.Errorf("decode ticket %d: %w", wire.Number, err)
		}
		ticket.Objects = append(ticket.Objects, object)
	}
	return ticket, nil
}

// EncodeOnce returns the JSON text of an at-most-once record.
func EncodeOnce(record core.OnceRecord) ([]byte, error) {
	value, err := json.Marshal(wireOnce{
		Done:     record.Done,
		BodyHash: record.BodyHash,
		Attempt:  record.Attempt,
		Member:   string(record.Member),
		Answer:   record.Response,
	})
	if err != nil {
		return nil, fmt.Errorf("encode at-most-once record: %w", err)
	}
	return value, nil
}

// DecodeOnce is the inverse of EncodeOnce; it returns an error for invalid JSON and unknown fields.
func DecodeOnce(value []byte) (core.OnceRecord, error) {
	var wire wireOnce
	if err := decodeStrict(value, &wire); err != nil {
		return core.OnceRecord{}, fmt.Errorf("decode at-most-once record: %w", err)
	}
	return core.OnceRecord{
		Done:     wire.Done,
		BodyHash: wire.BodyHash,
		Attempt:  wire.Attempt,
		Member:   core.MemberID(wire.Member),
		Response: wire.Answer,
	}, nil
}

// ObjectKey returns the key under which the store keeps an object.
func ObjectKey(ref config.Ref) string {
	return core.ConfigPrefix + string(ref.Kind) + "/" + ref.Name
}

// ParseObjectKey is the inverse of ObjectKey; it reports false for a key that does not name an object.
func ParseObjectKey(key string) (config.Ref, bool) {
	suffix, found := strings.CutPrefix(key, core.ConfigPrefix)
	if !found {
		return config.Ref{}, false
	}
	kind, name, found := strings.Cut(suffix, "/")
	ref := config.Ref{Kind: config.ObjectKind(kind), Name: name}
	return ref, found && ref.Kind.Known() && config.ValidName(name)
}
