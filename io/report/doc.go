// Package report renders service-level snapshots as text, JSON and HTML.
package report
