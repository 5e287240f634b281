// Package burn counts finished requests against service levels, in bounded memory.
package burn
