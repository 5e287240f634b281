// Package bench measures what control costs: it runs daemons as processes against stand-ins and fits lines to the figures.
package bench
