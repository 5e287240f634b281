// Package gauge keeps what targets have stated about their own load, and says how much of it still holds.
//
// It is made for targets that share their machines with others, so that their speed changes within fractions of a second, and for
// fleets whose daemons all read the same statement.
package gauge
