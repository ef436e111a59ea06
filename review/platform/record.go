package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since the start of the case.
type recorder struct {
	start time.Time
	mu    sync.Mutex // guards the fields below
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	must(err)
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}
}

// line writes a line with the time.
func (r *recorder) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", r.since(time.Now()))
	fmt.Fprintf(r.out, format, arguments...)
	fmt.Fprintln(r.out)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf("%8.3f  "+format+"\n", append([]any{r.since(time.Now())}, arguments...)...)
}

func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// must ends a case that can't run.
func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun is the panic of a case that can't run.
type cannotRun struct{ cause error }
