package crlquarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// newRegistry returns a registry that owns all parts or none.
func newRegistry(owns bool) *Registry {
	return New(Config{Owns: func(Suspect) bool { return owns }, Now: crlclock.NewMonotonic()})
}

// crash records the crash of a server with a request.
func crash(r *Registry, request, server int, parts ...Suspect) {
	crashAt(r, MomentHead, request, server, parts...)
}

// crashAt records the crash of a server with a request at a moment.
func crashAt(r *Registry, moment Moment, request, server int, parts ...Suspect) {
	crash := Crash{Request: crlid.Request(fmt.Sprint("r", request)), Server: crlid.Server(fmt.Sprint("i-", server)), Moment: moment}
	r.RecordCrash(Observation{Crash: crash, At: r.config.Now()}, parts)
}

// TestPartsAreQuarantined checks after which crashes requests with which parts are kept from servers.
func TestPartsAreQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes func(r *Registry)
		parts   []Suspect
		want    bool
	}{
		{"no crash", func(*Registry) {}, []Suspect{"a", "b"}, false},
		{"one request", func(r *Registry) { crash(r, 1, 1, "a", "b"); crash(r, 1, 2, "a", "b") }, []Suspect{"a", "b"}, false},
		{"one server", func(r *Registry) { crash(r, 1, 1, "a", "b"); crash(r, 2, 1, "a", "b") }, []Suspect{"a", "b"}, false},
		{"two requests", func(r *Registry) { crash(r, 1, 1, "a", "b"); crash(r, 2, 2, "c", "b") }, []Suspect{"d", "b"}, true},
		{"beside the part", func(r *Registry) { crash(r, 1, 1, "a", "b"); crash(r, 2, 2, "c", "b") }, []Suspect{"a", "c"}, false},
		{"both parts of all crashes", func(r *Registry) { crash(r, 1, 1, "a", "b"); crash(r, 2, 2, "a", "b") }, []Suspect{"a", "b"}, true},
		{"one part of all crashes, which the other explains", func(r *Registry) {
			crash(r, 1, 1, "a", "b")
			crash(r, 2, 2, "a", "b")
		}, []Suspect{"a", "c"}, false},
		{"one part of all crashes, and of one of another request", func(r *Registry) {
			crash(r, 1, 1, "a", "b")
			crash(r, 2, 2, "a", "b")
			crashAt(r, MomentBefore, 3, 2, "a")
		}, []Suspect{"a", "c"}, false},
		{"the part that explains more", func(r *Registry) {
			crash(r, 1, 1, "a", "b")
			crash(r, 2, 2, "a", "b")
			crash(r, 3, 3, "c", "b")
		}, []Suspect{"c", "b"}, true},
		{"several parts", func(r *Registry) {
			crash(r, 1, 1, "a")
			crash(r, 2, 2, "b")
			crash(r, 3, 3, "a")
			crash(r, 4, 4, "b")
		}, []Suspect{"b"}, true},
		{"an answer has begun since", func(r *Registry) {
			crash(r, 1, 1, "a")
			crash(r, 2, 2, "a")
			r.RecordStart([]Suspect{"a"})
		}, []Suspect{"a"}, false},
		{"an answer has begun in between", func(r *Registry) {
			crash(r, 1, 1, "a")
			r.RecordStart([]Suspect{"a"})
			crash(r, 2, 2, "a")
		}, []Suspect{"a"}, false},
		{"in use just before", func(r *Registry) {
			r.RecordStart([]Suspect{"a"})
			crash(r, 1, 1, "a", "b")
			crash(r, 2, 2, "a", "b")
		}, []Suspect{"a"}, false},
		{"in use long before", func(r *Registry) {
			r.RecordStart([]Suspect{"a"})
			time.Sleep(startedWithin)
			crash(r, 1, 1, "a")
			crash(r, 2, 2, "a")
		}, []Suspect{"a"}, true},
		{"empty identifier", func(r *Registry) { crash(r, 1, 1, ""); crash(r, 2, 2, "") }, []Suspect{""}, false},
		{"long identifier", func(r *Registry) {
			crash(r, 1, 1, Suspect(fmt.Sprintf("%300d", 1)))
			crash(r, 2, 2, Suspect(fmt.Sprintf("%300d", 1)))
		}, []Suspect{Suspect(fmt.Sprintf("%300d", 1))}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistry(false)
				tc.crashes(r)
				got := r.Check(tc.parts)
				if got.Quarantined != tc.want || got.Quarantined && got.RetryAfter < minRetryAfter {
					t.Errorf("got %+v, want quarantined %v", got, tc.want)
				}
			})
		})
	}
}

// TestMomentsAndRoundsDecide checks when a part is kept from servers that ended before the heads of answers or after events, when many requests may have been
// there.
func TestMomentsAndRoundsDecide(t *testing.T) {
	parts := []Suspect{"a"}
	apart := func(r *Registry, moment Moment, request, server int) {
		r.RecordCrash(Observation{
			Crash: Crash{Request: crlid.Request(fmt.Sprint("r", request)), Server: crlid.Server(fmt.Sprint("i-", server)), Moment: moment},
			At:    r.config.Now(), Apart: true,
		}, parts)
	}
	for _, moment := range []Moment{MomentBefore, MomentBody} {
		more := func(r *Registry) { // Records as many crashes as are needed beside one.
			for n := range minCrashes - 1 {
				crashAt(r, moment, 2+n, 2+n, "a")
			}
		}
		for _, tc := range []struct {
			name    string
			crashes func(r *Registry)
			want    bool
		}{
			{"together", func(r *Registry) {
				for n := range 8 {
					crashAt(r, moment, n, n, "a")
				}
			}, false},
			{"within a round", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime - time.Millisecond)
				crashAt(r, moment, 2, 2, "a")
			}, false},
			{"in two rounds", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				more(r)
			}, true},
			{"few in two rounds", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				for n := range minCrashes - 2 {
					crashAt(r, moment, 2+n, 2+n, "a")
				}
			}, false},
			{"in two rounds, one request", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				for n := range minCrashes {
					crashAt(r, moment, 1, 2+n, "a")
				}
			}, false},
			{"one after the other", func(r *Registry) {
				for n := range 4 {
					apart(r, moment, n/2, n)
				}
			}, true},
			{"one request after the other", func(r *Registry) {
				for n := range 8 {
					apart(r, moment, n, n)
				}
			}, false},
			{"complete in between", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				r.RecordCompletion(parts)
				more(r)
			}, false},
			{"complete just before", func(r *Registry) {
				r.RecordCompletion(parts)
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				more(r)
			}, false},
			{"begun in between", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				r.RecordStart(parts)
				more(r)
			}, moment == MomentBody},
			{"begun since", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				more(r)
				r.RecordStart(parts)
			}, moment == MomentBody},
			{"complete since", func(r *Registry) {
				crashAt(r, moment, 1, 1, "a")
				time.Sleep(roundTime)
				more(r)
				r.RecordCompletion(parts)
			}, false},
		} {
			t.Run(fmt.Sprint(moment, "/", tc.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRegistry(false)
					tc.crashes(r)
					if got := r.Check(parts); got.Quarantined != tc.want {
						t.Errorf("got %+v, want quarantined %v", got, tc.want)
					}
				})
			})
		}
	}
}

// TestStaleDeletionSparesNewerCrashes guards against a daemon that deletes a record because an answer had begun, although another one has recorded meanwhile that
// servers crash later in answers.
func TestStaleDeletionSparesNewerCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(false)
		r.Apply(Record{Suspect: "a", Crashes: []Crash{{Request: "r1", Server: "i-1", Moment: MomentBefore, Round: 1}}})
		r.RecordStart([]Suspect{"a"})
		if due := r.Due(); len(due) != 1 || !due[0].Delete {
			t.Fatalf("due are %+v, want a deletion", due)
		}
		newer := Record{Suspect: "a"}
		for n := range minCrashes {
			newer.Crashes = append(newer.Crashes, Crash{Request: crlid.Request(fmt.Sprint("r", n)), Server: crlid.Server(fmt.Sprint("i-", n)), Moment: MomentBody, Round: 1 + n/2})
		}
		r.Apply(newer)
		if due := r.Due(); len(due) != 0 || !r.Check([]Suspect{"a"}).Quarantined {
			t.Errorf("due are %+v, want nothing and the part kept from servers", due)
		}
	})
}

// TestDeletionSparesCrashesThatAreNotWritten guards against crashes that a daemon has seen and forgets before it has written them, because another one that does
// not know of them deletes the record.
func TestDeletionSparesCrashesThatAreNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(false)
		r.Apply(Record{Suspect: "a", Crashes: []Crash{{Request: "r0", Server: "i-0", Moment: MomentBefore, Round: 1}}})
		for n := range minCrashes {
			crashAt(r, MomentBody, 1+n, 1+n, "a")
			time.Sleep(roundTime)
		}
		r.Remove("a")
		due := r.Due()
		if len(due) != 1 || due[0].Delete || len(due[0].Record.Crashes) != minCrashes || !r.Check([]Suspect{"a"}).Quarantined {
			t.Errorf("due are %+v, want the crashes of this daemon, and the part kept from servers", due)
		}
		r.Apply(due[0].Record)
		r.Remove("a")
		if due := r.Due(); len(due) != 0 || r.Check([]Suspect{"a"}).Quarantined {
			t.Errorf("due are %+v after the deletion of what was written, want nothing", due)
		}
	})
}

// TestProbesBecomeRare checks that the owner of a part sends probes at growing times, and others none.
func TestProbesBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, other := newRegistry(true), newRegistry(false)
		for _, r := range []*Registry{owner, other} {
			crash(r, 1, 1, "a")
			crash(r, 2, 2, "a")
		}
		start := time.Now()
		var probes []time.Duration
		for time.Since(start) < time.Hour {
			time.Sleep(100 * time.Millisecond)
			if !other.Check([]Suspect{"a"}).Quarantined {
				t.Fatal("a daemon that doesn't own the part sends a request with it")
			}
			if !owner.Check([]Suspect{"a"}).Quarantined {
				probes = append(probes, time.Since(start).Round(time.Second))
			}
		}
		want := []time.Duration{2 * time.Second, 10 * time.Second, 42 * time.Second, 170 * time.Second, 682 * time.Second}
		if got := probes[:min(len(probes), len(want))]; !cmp.Equal(got, want) || len(probes) > 10 {
			t.Errorf("probes after %s, want them first after %s and at most 10 in an hour", probes, want)
		}
	})
}

// TestProbeWithSeveralQuarantinedPartsIsNotSent guards against probes that can't tell which part crashes servers.
func TestProbeWithSeveralQuarantinedPartsIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(true)
		for n, p := range []Suspect{"a", "b", "a", "b"} {
			crash(r, n, n, p)
		}
		time.Sleep(time.Minute)
		if !r.Check([]Suspect{"a", "b"}).Quarantined {
			t.Error("a request with two quarantined parts is sent")
		}
		if r.Check([]Suspect{"a"}).Quarantined {
			t.Error("no probe of a part is sent after a minute")
		}
	})
}

// TestMemoryForSuspectsIsBounded guards against records that grow with the number of parts that callers send, and against quarantines that are
// forgotten for them.
func TestMemoryForSuspectsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(false)
		crash(r, 1, 1, "a")
		crash(r, 2, 2, "a")
		r.Apply(Record{Suspect: "s0", Crashes: []Crash{{Request: "r", Server: "i"}}})
		for n := range 20000 {
			time.Sleep(time.Millisecond)
			part := Suspect(fmt.Sprint("p", n))
			crash(r, n, n%9, part, request(fmt.Sprint(n)))
			r.RecordStart([]Suspect{Suspect(fmt.Sprint("q", n))})
			r.Apply(Record{Suspect: Suspect(fmt.Sprint("s", n)), Crashes: []Crash{{Request: "r", Server: "i"}}})
		}
		if len(r.entries) > maxEntries || len(r.answers) > maxAnswers {
			t.Errorf("%d records and %d started parts, want at most %d and %d", len(r.entries), len(r.answers), maxEntries, maxAnswers)
		}
		if !r.Check([]Suspect{"a"}).Quarantined {
			t.Error("a quarantined part was evicted for parts that are only suspected")
		}
		if e := r.entries["s0"]; e == nil || !e.stored {
			t.Error("a record in the store was evicted, so that nobody will delete it there")
		}
	})
}

// TestOldRecordsAreDeleted checks that the owner of a part deletes its record when no more requests with it come.
func TestOldRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(true)
		suspected := Record{Suspect: "s", Crashes: []Crash{{Request: "r1", Server: "i-1"}}}
		quarantined := Record{Suspect: "q", Crashes: []Crash{{Request: "r1", Server: "i-1"}, {Request: "r2", Server: "i-2"}}}
		r.Apply(suspected)
		r.Apply(quarantined)
		deletes := func() (parts []Suspect) {
			for _, c := range r.Due() {
				if c.Delete {
					parts = append(parts, c.Record.Suspect)
					r.Remove(c.Record.Suspect)
				}
			}
			return parts
		}
		for _, step := range []struct {
			sleep time.Duration
			want  []Suspect
		}{{suspicionTime, nil}, {time.Second, []Suspect{"s"}}, {quarantineTime - suspicionTime - time.Minute, nil}, {time.Minute, []Suspect{"q"}}} {
			time.Sleep(step.sleep)
			if got := deletes(); !cmp.Equal(got, step.want) {
				t.Errorf("%s later: deleted %v, want %v", step.sleep, got, step.want)
			}
		}
	})
}

// TestDaemonsAgree lets daemons observe crashes and begun answers, and write and read the store in random order. Once all changes are written, all
// hold the same records, which are those of the store.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := crlclock.Instant(time.Hour)
		store, suspects := make(map[Suspect]Record), []Suspect{"a", "b", request("c")}
		var daemons []*Registry
		for range 3 {
			daemons = append(daemons, New(Config{Now: func() crlclock.Instant { return clock }}))
		}
		broadcast := func(c Change) {
			for _, d := range daemons {
				if c.Delete {
					d.Remove(c.Record.Suspect)
				} else {
					d.Apply(c.Record)
				}
			}
		}
		write := func(d *Registry) bool {
			changes := d.Due()
			for _, c := range changes {
				if c.Delete {
					delete(store, c.Record.Suspect)
				} else {
					store[c.Record.Suspect] = c.Record
				}
				broadcast(c)
			}
			return len(changes) > 0
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			d := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			part := rapid.SampledFrom(suspects).Draw(t, "suspect")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				moment := rapid.SampledFrom(MomentValues()).Draw(t, "moment")
				crashAt(d, moment, rapid.IntRange(0, 5).Draw(t, "request"), rapid.IntRange(0, 5).Draw(t, "server"), part)
			case 1:
				d.RecordStart([]Suspect{part})
			case 2:
				d.RecordCompletion([]Suspect{part})
			default:
				write(d)
			}
		}
		for round := 0; write(daemons[0]) || write(daemons[1]) || write(daemons[2]); round++ {
			if round > 20 {
				t.Fatal("daemons go on writing without new observations")
			}
		}
		for n, d := range daemons {
			for _, part := range suspects {
				held, ok := d.entries[part]
				stored, inStore := store[part]
				if ok != inStore || ok && (held.quarantined != stored.quarantined() || !held.record.explains(stored)) {
					t.Errorf("daemon %d holds %v of part %s (%v), the store %v (%v)", n, held, part, ok, stored, inStore)
				}
			}
		}
	})
}

// TestRecordsAreDecoded checks what is taken for a record.
func TestRecordsAreDecoded(t *testing.T) {
	whole := Record{Suspect: "a", Crashes: []Crash{{Request: "r1", Server: "i-1"}, {Request: "r2", Server: "i-2"}}, Probes: 3}
	value, err := whole.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode("a", value); err != nil || !cmp.Equal(got, whole) {
		t.Errorf("got %+v and error %v, want %+v", got, err, whole)
	}
	if want := `{"crashes":[{"request":"r1","server":"i-1"},{"request":"r2","server":"i-2"}],"probes":3}`; string(value) != want {
		t.Errorf("value %s, want %s", value, want)
	}
	for _, bad := range []string{"", "[]", "{", `{"crashes":1}`, fmt.Sprintf("%20000d", 1)} {
		if r, err := Decode("a", []byte(bad)); err == nil {
			t.Errorf("decoded %.20q to %+v, want an error", bad, r)
		}
	}
}

// request returns the suspect of a request with a body.
func request(body string) Suspect { return RequestSuspect(Content{Target: "/", Body: []byte(body)}) }

// TestRequestsAreTold checks which requests are taken for repeats of each other, and that no part of a prompt is taken for a request.
func TestRequestsAreTold(t *testing.T) {
	first := Content{Organisation: "firm", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("c")}
	if again := first; RequestSuspect(first) != RequestSuspect(again) {
		t.Error("a repeat is another suspect")
	}
	for name, change := range map[string]func(*Content){
		"other caller":     func(c *Content) { c.Organisation = "other" },
		"other method":     func(c *Content) { c.Method = "PUT" },
		"other host":       func(c *Content) { c.Host = "i" },
		"other query":      func(c *Content) { c.Target = "/a?c" },
		"other body":       func(c *Content) { c.Body = []byte("d") },
		"same text joined": func(c *Content) { c.Target, c.Body = "/a?", []byte("bc") },
	} {
		other := first
		change(&other)
		if RequestSuspect(other) == RequestSuspect(first) {
			t.Errorf("%s: taken for a repeat", name)
		}
	}
	whole := RequestSuspect(first)
	if len(whole) > maxPartBytes || PartSuspect(string(whole)) != "" || PartSuspect("a") != "a" {
		t.Errorf("request is suspect %q, a part with that identifier %q", whole, PartSuspect(string(whole)))
	}
}

// TestProbesOfRequestsEnd guards against a request that crashes servers and takes one more with each probe, for as long as it comes again.
func TestProbesOfRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(true)
		crash(r, 1, 1, request("a"))
		crash(r, 2, 2, request("a"))
		probes := 0
		for start := time.Now(); time.Since(start) < 10*time.Minute; time.Sleep(time.Second) {
			verdict := r.Check([]Suspect{request("a")})
			switch {
			case !verdict.Quarantined:
				probes++
				crash(r, 10+probes, 10+probes, request("a"))
			case verdict.RetryAfter > maxRetryAfter+retrySpread:
				t.Fatalf("told to return after %s, want at most %s", verdict.RetryAfter, maxRetryAfter+retrySpread)
			}
		}
		if probes != maxRequestProbes {
			t.Errorf("%d probes in 10 minutes, want %d", probes, maxRequestProbes)
		}
		if r.Check([]Suspect{request("b")}).Quarantined {
			t.Error("another request is kept from servers")
		}
	})
}

// TestRequestIsProbedWithItsParts checks when a request is probed whose parts are quarantined too: unless one of these has crashes of other requests.
func TestRequestIsProbedWithItsParts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others func(r *Registry)
		want   bool
	}{
		{"part of this request alone", func(*Registry) {}, true},
		{"part of others that crash servers", func(r *Registry) { crash(r, 3, 3, "b", request("other")) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistry(true)
				crash(r, 1, 1, request("a"), "b")
				crash(r, 2, 2, request("a"), "b")
				tc.others(r)
				time.Sleep(time.Minute)
				if got := !r.Check([]Suspect{request("a"), "b"}).Quarantined; got != tc.want {
					t.Errorf("request is probed: %v, want %v", got, tc.want)
				}
				r.RecordStart([]Suspect{request("a"), "b"})
				if r.Check([]Suspect{request("a"), "b"}).Quarantined {
					t.Error("request and part are kept from servers after an answer")
				}
			})
		})
	}
}
