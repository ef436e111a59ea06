// Package crlsettings reads the settings file of a daemon.
//
// Settings belong to one process: its addresses, its failure domain, its peers, the platform and the keys that seal session
// and stream tokens. What operators decide for all daemons alike is configuration, see package crlconfig. Parse returns the
// Settings, or an error that lists every problem of the file with its section and line; unknown sections and keys are
// problems, too. Settings aren't changed after Parse and may be read by several goroutines.
package crlsettings
