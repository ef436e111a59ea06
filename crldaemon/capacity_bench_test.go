package crldaemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crladmin"
	"github.com/cranberrylock/cranberrylock/crlbill"
	"github.com/cranberrylock/cranberrylock/crlclaim"
	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlsettings"
	"github.com/cranberrylock/cranberrylock/crlsnapshot"
)

// The benchmarks of this file measure the costs per unit that docs/CAPACITY.md uses. Run them with -bench Capacity.

// heapBytes returns the size of the live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used so far, in user and system mode.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// configurationOf returns the configuration of examples/register.ini, extended to the given number of servers.
func configurationOf(b *testing.B, servers int) []byte {
	content, err := os.ReadFile("../examples/register.ini")
	if err != nil {
		b.Fatal(err)
	}
	var file bytes.Buffer
	file.Write(content)
	const registerServers = 14 // servers of examples/register.ini
	for i := range servers - registerServers {
		fmt.Fprintf(&file, "\n[server more-%d]\naddress = 127.0.0.1:%d\ndomain = montevideo-1\n", i, 10_000+i)
		fmt.Fprintf(&file, "versions = drafter-small-1, tagger-1\nwarm-limit = 32\ncold-limit = 2\nfencing = yes\n")
	}
	return file.Bytes()
}

// BenchmarkCapacityParse measures the time and the heap that parsing a configuration needs, by its number of servers.
func BenchmarkCapacityParse(b *testing.B) {
	for _, servers := range []int{23, 200, 810} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			content := configurationOf(b, servers)
			before := heapBytes()
			kept, err := crlconfig.Parse("bench", content)
			if err != nil {
				b.Fatal(err)
			}
			size := heapBytes() - before
			b.ResetTimer()
			for b.Loop() {
				if _, err := crlconfig.Parse("bench", content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(content)), "file-B")
			b.ReportMetric(size, "heap-B")
			runtime.KeepAlive(kept)
		})
	}
}

// loggedEntry returns an entry as a tail delivers it.
func loggedEntry(b *testing.B, sequence int, kind crljournal.Kind, body any) crljournal.LoggedEntry {
	raw, err := crljournal.Encode(body)
	if err != nil {
		b.Fatal(err)
	}
	entry := crljournal.Entry{Writer: "bench", Sequence: uint64(sequence + 1), Kind: kind, Body: raw}
	return crljournal.LoggedEntry{Entry: entry, Position: crljournal.Position{Offset: crlid.Offset(sequence)}, Time: time.Now()}
}

func testBill() crlbill.Bill {
	return crlbill.Bill{Request: crlid.NewRequest(), Organisation: "firm-a", Version: "drafter-large-2", Prompt: 500, Answer: 400, Cost: 8100}
}

// BenchmarkCapacityBills measures folding the bills of one daemon. Each iteration applies all of them to a new fold.
func BenchmarkCapacityBills(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("bills=%d", n), func(b *testing.B) {
			entries := make([]crljournal.LoggedEntry, n)
			for i := range entries {
				entries[i] = loggedEntry(b, i, crlbill.KindBill, testBill())
			}
			measureFold(b, n, func() any {
				fold := crlbill.NewFold(time.Hour)
				for _, e := range entries {
					fold.Apply(e, e.Time)
				}
				return fold
			})
		})
	}
}

// BenchmarkCapacityClaims measures folding claims and their outcomes, each with an answer of 100 bytes.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, n := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			entries := make([]crljournal.LoggedEntry, 0, 2*n)
			for i := range n {
				key := crlclaim.Key{Organisation: "firm-a", Key: string(crlid.NewRequest())}
				claim := loggedEntry(b, 2*i, crlclaim.KindClaim, crlclaim.Claim{
					Key: key, Request: crlid.NewRequest(), Deadline: time.Now().Add(time.Hour), Lifetime: 24 * time.Hour,
				})
				outcome := crlclaim.Outcome{
					Key: key, Claim: claim.Position, Phase: crlclaim.PhaseDone, Status: http.StatusOK,
					ContentType: "application/json", Answer: make([]byte, 100),
				}
				entries = append(entries, claim, loggedEntry(b, 2*i+1, crlclaim.KindOutcome, outcome))
			}
			measureFold(b, n, func() any {
				fold := crlclaim.NewFold()
				for _, e := range entries {
					fold.Apply(e, e.Time)
					fold.DrainVerdicts()
				}
				return fold
			})
		})
	}
}

// measureFold reports the time and the heap that a fold needs per key, which stands for a bill or a claim. The function fold
// builds a new fold from all entries.
func measureFold(b *testing.B, keys int, fold func() any) {
	before := heapBytes()
	kept := fold()
	size := heapBytes() - before
	if size < float64(keys) {
		b.Fatalf("the fold holds only %.0f bytes for %d keys", size, keys)
	}
	b.ResetTimer()
	for b.Loop() {
		fold()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*keys), "ns/key")
	b.ReportMetric(size/float64(keys), "heap-B/key")
	runtime.KeepAlive(kept)
}

// countingConn adds the bytes that a connection reads and writes to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingDial returns a dial function whose connections add their bytes to a counter.
func countingDial(bytes *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{Conn: connection, bytes: bytes}, err
	}
}

// BenchmarkCapacityTail measures reading bills from the log over loopback. Its CPU time includes the fake log server, which
// runs in the same process.
func BenchmarkCapacityTail(b *testing.B) {
	for _, perRecord := range []int{1, 20, 200} {
		b.Run(fmt.Sprintf("bills-a-record=%d", perRecord), func(b *testing.B) {
			platform := crlfake.NewPlatform()
			server := httptest.NewServer(platform)
			defer server.Close()
			var wire atomic.Int64
			log := crlplatform.NewLogClient(crlplatform.LogClientConfig{
				URL: server.URL, Client: &http.Client{Transport: &http.Transport{DialContext: countingDial(&wire)}},
			})
			const records = 64
			appendBills(b, platform.Log, records, perRecord)
			began := cpuTime(b)
			entries := 0.0
			for b.Loop() {
				page, err := log.Read(b.Context(), crlplatform.ReadRequest{Stream: crlbill.Stream, Limit: 2 * records})
				if err != nil {
					b.Fatal(err)
				}
				for _, r := range page.Records {
					decoded, err := crljournal.DecodeRecord(r)
					if err != nil {
						b.Fatal(err)
					}
					entries += float64(len(decoded))
				}
			}
			b.ReportMetric(float64((cpuTime(b)-began).Nanoseconds())/entries, "cpu-ns/entry")
			b.ReportMetric(float64(wire.Load())/entries, "wire-B/entry")
		})
	}
}

// appendBills appends the given number of records, with perRecord bills each, through a Writer as a daemon does.
func appendBills(b *testing.B, log *crlfake.Log, records, perRecord int) {
	w := crljournal.NewWriter(crljournal.WriterConfig{
		Log: log, Stream: crlbill.Stream, Writer: crlid.NewIncarnation(), Window: crljournal.MinWindow,
		BatchEntries: perRecord, AppendTimeout: appendTimeout,
	})
	for range records * perRecord {
		if _, err := w.Submit(crlbill.KindBill, testBill()); err != nil {
			b.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	if err := w.Flush(b.Context()); err != nil {
		b.Fatal(err)
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		b.Fatal(err)
	}
}

// BenchmarkCapacityIdlePolls measures the polls of the tails of n daemons on streams without records. A run takes 4 s whatever its
// number of iterations, so use -benchtime 1x.
func BenchmarkCapacityIdlePolls(b *testing.B) {
	const span = 4 * time.Second
	streams := []crlid.Stream{crlconfig.Stream, crlclaim.Stream, crlbill.Stream}
	for _, daemons := range []int{9, 45, 90} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			var polls atomic.Int64
			platform := crlfake.NewPlatform()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				polls.Add(1)
				platform.ServeHTTP(w, r)
			}))
			defer server.Close()
			var wire atomic.Int64
			client := &http.Client{Transport: &http.Transport{DialContext: countingDial(&wire), MaxIdleConnsPerHost: 3 * daemons}}
			log := crlplatform.NewLogClient(crlplatform.LogClientConfig{URL: server.URL, Client: client})
			ctx, cancel := context.WithTimeout(b.Context(), span)
			defer cancel()
			began := cpuTime(b)
			var tails sync.WaitGroup
			for range daemons {
				for _, stream := range streams {
					tail := crljournal.NewTail(crljournal.TailConfig{
						Log: log, Stream: stream, PageRecords: maxPageRecords, Wait: longPollWait, ReadTimeout: readTimeout, RetryDelay: logRetryDelay,
						Deliver: func(context.Context, crljournal.Batch) error { return nil },
					})
					tails.Go(func() { _ = tail.Run(ctx) })
				}
			}
			tails.Wait()
			perDaemon := span.Seconds() * float64(daemons)
			b.ReportMetric(float64(polls.Load())/perDaemon, "polls/s/daemon")
			b.ReportMetric(float64(wire.Load())/perDaemon, "wire-B/s/daemon")
			b.ReportMetric((cpuTime(b)-began).Seconds()/perDaemon*100, "%core/daemon")
		})
	}
}

// BenchmarkCapacityConfirm measures asking n daemons which configuration they have in force, as cranberrylockctl apply does.
func BenchmarkCapacityConfirm(b *testing.B) {
	for _, daemons := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			mux := crlpeer.NewMux()
			mux.Register(methodConfirm, crlpeer.Typed(func(context.Context, confirmRequest) (crladmin.Confirmation, error) {
				return crladmin.Confirmation{Offset: 1}, nil
			}))
			settings := &crlsettings.Settings{Peers: make(map[crlid.Daemon]string), Limits: crlsettings.DefaultLimits()}
			for i := range daemons {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				go func() { _ = mux.Serve(b.Context(), listener) }()
				settings.Peers[crlid.Daemon(fmt.Sprint(i))] = listener.Addr().String()
			}
			var wire atomic.Int64
			peers := crlpeer.NewClient(crlpeer.ClientConfig{ConnectTimeout: time.Second, CallTimeout: 5 * time.Second, Dial: countingDial(&wire)})
			defer peers.Close()
			d := &Daemon{config: Config{Settings: settings, Peers: peers}, snapshots: crlsnapshot.NewHolder()}
			began := cpuTime(b)
			for b.Loop() {
				for _, c := range d.Confirmations(b.Context()) {
					if c.Error != "" {
						b.Fatal(c.Error)
					}
				}
			}
			calls := float64(b.N * daemons)
			b.ReportMetric(float64((cpuTime(b)-began).Nanoseconds())/calls, "cpu-ns/peer")
			b.ReportMetric(float64(wire.Load())/calls, "wire-B/peer")
		})
	}
}
