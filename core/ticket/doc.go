// Package ticket applies tickets to the store, each in one transaction, and reads lost responses back.
package ticket
