// Command platform runs the cases of the second review: stand-ins of the users' platform, replicas and consumers around daemons that are processes of their own.
package main
