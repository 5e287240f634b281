// Package ticket applies tickets to the store, each in one transaction, and resolves writes whose response was lost.
package ticket
