// Command cranberrylock-router runs one router, which forwards requests of plain HTTP routes to backend servers on the users'
// platform (package platform).
//
// It stops gracefully on SIGTERM or an interrupt and reloads its settings on SIGHUP.
package main
