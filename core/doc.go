// Package core holds the interfaces, identifiers, messages and error kinds that the other packages share.
package core
