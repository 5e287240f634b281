// Package plain simulates plain (non-model) services such as ledger, stock, invoicing, freight, booking and deposits.
package plain
