// Package burn counts finished requests against service level objectives, in bounded memory, and computes burn rates.
package burn
