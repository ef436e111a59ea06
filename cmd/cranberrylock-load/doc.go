// Command cranberrylock-load generates load against daemons or stand-ins, as an experiment file describes it, and reports the
// results of each run.
package main
