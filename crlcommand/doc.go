// Package crlcommand holds what the commands share: their exit codes and the parsing of their arguments.
package crlcommand
