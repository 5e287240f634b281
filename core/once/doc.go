// Package once keeps the records of calls that may run at most once.
package once
