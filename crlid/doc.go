// Package crlid defines the types of identifiers and units that the other packages share.
//
// Each kind of identifier has its own type, so that the compiler rejects a version where a backend server is expected.
// Every package may import crlid; it imports no other package of this module. Apart from functions that generate unique
// identifiers, it contains no behaviour. The functions are safe for concurrent use.
package crlid
