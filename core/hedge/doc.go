// Package hedge decides when a request whose answer is slow is sent to a second target.
package hedge
