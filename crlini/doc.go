// Package crlini reads INI files for checkers that report every problem of a file at once, each with its section and line.
//
// [Read] parses a file with the ini library and returns a [File]. The caller reads the values of each [Section] by key with
// methods such as Int or Duration; a value that is absent or invalid adds a [Problem] and yields a fallback. Section.Finish
// then reports unknown keys, and File.Err returns an [*Error] with all problems. The package adds to the library the line
// numbers and the detection of sections and keys that occur more than once.
//
// Both the settings of daemons and the configuration of operators are read with it. A File and its sections are not safe for
// concurrent use.
package crlini
