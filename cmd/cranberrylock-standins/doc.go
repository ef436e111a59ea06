// Command cranberrylock-standins serves stand-ins for the platform and for the backend servers of a configuration, so that
// daemons can be tried out on one machine. It prints the URL of the platform and runs until SIGTERM or an interrupt.
package main
