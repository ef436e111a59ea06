// Command cranberrylock-router runs one router, which forwards requests of plain HTTP routes on the users' platform.
//
// It stops gracefully on SIGTERM and reloads its settings on SIGHUP.
package main
