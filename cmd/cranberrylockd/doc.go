// Command cranberrylockd runs one daemon, which serves callers and operators, until SIGTERM or an interrupt. Then it completes
// open requests before it exits.
//
// It reads its settings from the file named by --settings and writes its log with klog.
package main
