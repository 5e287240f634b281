// Package fakes provides in-memory test doubles for the store and the clock; only tests import it.
package fakes
