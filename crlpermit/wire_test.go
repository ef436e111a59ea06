package crlpermit

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// TestReturnedKeepsEveryFieldOnTheWire guards against a field of Returned whose JSON name is that of an embedded field: the
// embedded field would be left out.
func TestReturnedKeepsEveryFieldOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := Returned{
			Server:   crlid.Server(rapid.String().Draw(t, "server")),
			PermitID: PermitID{Term: crlid.Term(rapid.Int64().Draw(t, "term")), Number: rapid.Uint64().Draw(t, "number")},
			Outcome: Outcome{
				Sent: rapid.Bool().Draw(t, "sent"), Failed: rapid.Bool().Draw(t, "failed"), Incomplete: rapid.Bool().Draw(t, "cut"),
				Boot: crlid.Boot(rapid.String().Draw(t, "boot")), Latency: time.Duration(rapid.Int64().Draw(t, "latency")),
			},
		}
		raw, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var got Returned
		if err := json.Unmarshal(raw, &got); err != nil {
			t.Fatal(err)
		}
		if got != sent {
			t.Fatalf("got %+v, want %+v from %s", got, sent, raw)
		}
	})
}
