// Package answer maps errors to the JSON answers of a daemon and back.
package answer
