// Package crlanswer lets through only what is an answer over HTTP/1.1, and a whole one.
//
// net/http takes more than that for an answer: a status below 100, a name of a field with blanks in it, which then frames nothing, and lines that go on
// with the one before. And it takes the end of the connection for the end of an answer that has no length, although a reset may have ended it: the kernel
// reports a reset to one call only, and if that is the write of the request, the next read only finds the end.
//
// [Transport] checks the bytes of each answer's head before net/http parses them, and each end of a connection against how the request's write ended. Every
// client of HTTP in this module uses it.
package crlanswer
