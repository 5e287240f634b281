// Package core holds the interfaces, identifiers, messages and error kinds that the parts of catkincove share.
package core
