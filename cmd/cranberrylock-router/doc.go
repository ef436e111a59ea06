// Command cranberrylock-router carries the requests of generic HTTP routes on the users' platform.
package main
