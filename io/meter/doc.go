// Package meter counts the bytes of connections, so that control traffic is measured on the wire, and keeps histograms of latencies.
package meter
