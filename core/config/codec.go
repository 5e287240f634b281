package config

// Codec maps objects and tickets to store keys and values.
type Codec interface {
	// EncodeObject returns the store value of an object.
	EncodeObject(object Object) ([]byte, error)
	// DecodeObject is the inverse of EncodeObject; unknown fields are an error.
	DecodeObject(value []byte) (Object, error)
	// EncodeTicket returns the store value of a ticket.
	EncodeTicket(ticket Ticket) ([]byte, error)
	// DecodeTicket is the inverse of EncodeTicket; unknown fields are an error.
	DecodeTicket(value []byte) (Ticket, error)
	// ObjectKey returns the store key of an object.
	ObjectKey(ref Ref) string
	// ParseObjectKey is the inverse of ObjectKey; it reports false for any other key.
	ParseObjectKey(key string) (Ref, bool)
}
