package crlrouter

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
	"github.com/cranberrylock/cranberrylock/crlrelay"
)

// endlessStore answers each read of the newest records with a page after which more follow.
type endlessStore struct {
	KeyedLog

	pages int
}

const endlessPageBytes = 1 << 20

func (s *endlessStore) Newest(ctx context.Context, _, _ string) (crlplatform.KeyedPage, bool, error) {
	s.pages++
	record := crlplatform.KeyedRecord{Key: fmt.Sprint(s.pages), Value: make([]byte, 1)}
	return crlplatform.KeyedPage{Records: []crlplatform.KeyedRecord{record}, End: crlid.Position{Offset: 9}, Bytes: endlessPageBytes}, true, ctx.Err()
}

// TestPagesWithoutEndAreBounded guards against a router that is killed for its memory (LOST), as a store in trouble always states that more pages follow.
func TestPagesWithoutEndAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(endlessStore)
		replica := crlrelay.NewReplica(crlrelay.ReplicaConfig{
			OnChange: func([]crlplatform.KeyedRecord, crlclock.Instant) { t.Error("a part of the topic is in force") }, Now: crlclock.NewMonotonic(),
		})
		w := newWatcher(watcherConfig{store: store, topic: "servers", now: crlclock.NewMonotonic(), replica: replica})
		ctx, cancel := context.WithTimeout(t.Context(), storeTransferTimeout)
		defer cancel()
		if err := w.bootstrap(ctx); !errors.Is(err, errTopicSize) || store.pages > maxTopicBytes/endlessPageBytes+1 {
			t.Errorf("%d pages of 1 MiB were read, error %v, want %v after at most %d", store.pages, err, errTopicSize, maxTopicBytes/endlessPageBytes+1)
		}
	})
}
