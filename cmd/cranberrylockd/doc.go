// Command cranberrylockd runs one daemon, which serves callers and operators, until SIGTERM or an interrupt.
package main
