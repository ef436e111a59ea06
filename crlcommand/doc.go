// Package crlcommand holds the code that all commands of the module share: exit codes and the parsing of arguments.
package crlcommand
