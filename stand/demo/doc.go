// Package demo runs two daemons and a simulated platform with two data centres in one process, and checks the results of
// a few requests and tickets.
package demo
