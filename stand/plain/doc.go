// Package plain stands in for plain services such as ledger, stock, invoicing, freight, booking and deposits.
package plain
