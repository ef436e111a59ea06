// Command cranberrylock-demo runs three daemons, with stand-ins for their environment, in one process on loopback.
//
// Without arguments it prints curl commands that call the daemons and waits for an interrupt. With --script it runs a scenario
// of several steps on its own, checks the result of each, and exits with status 0 only if every check passed.
package main
