// Package held keeps what the requests of one daemon hold at targets, so that the successor of a sender can account for it.
package held
