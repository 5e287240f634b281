// Package answer encodes errors as JSON responses of a daemon and decodes them.
package answer
