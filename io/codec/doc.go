// Package codec maps configuration objects, tickets and at-most-once records to JSON values of the store.
package codec
