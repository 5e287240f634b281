// Package codec encodes configuration objects, tickets and at-most-once records as the JSON values kept in the store.
package codec
