// Package report renders snapshots of service-level counts as text, JSON and HTML.
package report
