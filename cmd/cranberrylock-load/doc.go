// Command cranberrylock-load generates load against daemons or stand-ins, as an experiment file describes it. It can repeat the
// experiment with successive random seeds, and prints a report of each run as a table or as JSON.
package main
