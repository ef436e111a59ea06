package crlrouter

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// memoryStore is an in-memory KeyedLog that several routers of a test share.
type memoryStore struct {
	mu          sync.Mutex
	topics      map[string][]crlplatform.KeyedRecord
	firstOffset map[string]crlid.Offset // oldest offset that can still be read, by topic
	era         crlid.Era
	members     []string
	generation  int64
	reads       int
	appends     int
	down        bool
	dealt       int           // number of times that all partitions were dealt anew
	changed     chan struct{} // closed and replaced at each append, and when an outage begins or ends
	views       []*storeView
}

// storeView is one router's connection to a memoryStore, which may refuse that router alone.
type storeView struct {
	*memoryStore
	refuse atomic.Bool
	silent atomic.Bool // whether replies to reads are lost, as on connections that have gone silent
	// silencedOrders is the number of times that the connection on which orders were being read has gone silent.
	silencedOrders atomic.Int64
	// transfer waits until a reply of the given size has arrived; nil for replies that take no time.
	transfer func(ctx context.Context, size int) error
}

// storeView returns the connection of router n, which it keeps when it restarts.
func (m *memoryStore) storeView(n int) *storeView {
	for len(m.views) <= n {
		m.views = append(m.views, &storeView{memoryStore: m})
	}
	return m.views[n]
}

var errRefused = &crlplatform.Error{Service: "store", Status: http.StatusTooManyRequests}

func (v *storeView) Newest(ctx context.Context, topic, after string) (crlplatform.KeyedPage, bool, error) {
	if v.refuse.Load() {
		return crlplatform.KeyedPage{}, false, errRefused
	}
	page, more, err := v.memoryStore.Newest(ctx, topic, after)
	return page, more, errors.Join(err, v.arrive(ctx, page))
}

func (v *storeView) Read(ctx context.Context, topic string, read crlplatform.KeyedRead) (crlplatform.KeyedPage, error) {
	if v.refuse.Load() {
		return crlplatform.KeyedPage{}, errRefused
	}
	before := v.silencedOrders.Load()
	page, err := v.memoryStore.Read(ctx, topic, read)
	if topic == "orders" && v.silencedOrders.Load() != before {
		<-ctx.Done()
		return crlplatform.KeyedPage{}, ctx.Err()
	}
	return page, errors.Join(err, v.arrive(ctx, page))
}

// arrive waits until a page has arrived.
func (v *storeView) arrive(ctx context.Context, page crlplatform.KeyedPage) error {
	if v.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if v.transfer == nil {
		return nil
	}
	size := 0
	for _, r := range page.Records {
		size += len(r.Key) + len(r.Value)
	}
	return v.transfer(ctx, size)
}

func (v *storeView) Join(ctx context.Context, join crlplatform.Join) (crlplatform.Membership, error) {
	if v.refuse.Load() {
		return crlplatform.Membership{}, errRefused
	}
	return v.memoryStore.Join(ctx, join)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		topics: make(map[string][]crlplatform.KeyedRecord), firstOffset: make(map[string]crlid.Offset), changed: make(chan struct{}),
	}
}

var errDown = errors.New("store is down")

// put appends a record; an empty value deletes the key.
func (m *memoryStore) put(topic, key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.append(topic, crlplatform.KeyedRecord{Key: key, Value: []byte(value), Deleted: value == ""})
}

func (m *memoryStore) append(topic string, record crlplatform.KeyedRecord) {
	record.Position = m.end(topic)
	m.topics[topic] = append(m.topics[topic], record)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) end(topic string) crlid.Position {
	return crlid.Position{Era: m.era, Offset: crlid.Offset(len(m.topics[topic]))}
}

// copyTopics returns a copy of what the store holds, from which restore brings it back.
func (m *memoryStore) copyTopics() map[string][]crlplatform.KeyedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	topics := make(map[string][]crlplatform.KeyedRecord)
	for topic, records := range m.topics {
		topics[topic] = slices.Clone(records)
	}
	return topics
}

// restore brings the store back from a copy, which begins a new era.
func (m *memoryStore) restore(topics map[string][]crlplatform.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.topics = make(map[string][]crlplatform.KeyedRecord)
	for topic, records := range topics {
		m.topics[topic] = slices.Clone(records)
		for i := range m.topics[topic] {
			m.topics[topic][i].Position.Era = m.era
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// dropHistory makes all present records of a topic unreadable by offset. Newest still returns the newest one of each key.
func (m *memoryStore) dropHistory(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.firstOffset[topic] = crlid.Offset(len(m.topics[topic]))
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	close(m.changed) // Reads that wait for records fail too.
	m.changed = make(chan struct{})
}

// dealAnew gives all partitions to other members.
func (m *memoryStore) dealAnew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dealt++
	m.generation++
}

func (m *memoryStore) Newest(_ context.Context, topic, _ string) (crlplatform.KeyedPage, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.down {
		return crlplatform.KeyedPage{}, false, errDown
	}
	newest := make(map[string]crlplatform.KeyedRecord)
	for _, r := range m.topics[topic] {
		newest[r.Key] = r
	}
	page := crlplatform.KeyedPage{End: m.end(topic)}
	for _, r := range newest {
		if !r.Deleted {
			page.Records = append(page.Records, r)
		}
	}
	return page, false, nil
}

func (m *memoryStore) Read(ctx context.Context, topic string, read crlplatform.KeyedRead) (crlplatform.KeyedPage, error) {
	deadline, cancel := context.WithTimeout(ctx, read.Wait)
	defer cancel()
	for {
		m.mu.Lock()
		m.reads++
		records, end, changed, down, firstOffset := m.topics[topic], m.end(topic), m.changed, m.down, m.firstOffset[topic]
		m.mu.Unlock()
		if down {
			return crlplatform.KeyedPage{}, errDown
		}
		if read.From.Offset < firstOffset || read.From.Offset > end.Offset {
			return crlplatform.KeyedPage{}, &crlplatform.Error{Service: "store", Status: http.StatusGone, Trimmed: true}
		}
		page := crlplatform.KeyedPage{Records: records[read.From.Offset:], End: end}
		if len(page.Records) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-deadline.Done():
			if ctx.Err() != nil {
				return crlplatform.KeyedPage{}, ctx.Err()
			}
			return page, nil
		}
	}
}

func (m *memoryStore) AppendAt(_ context.Context, topic string, record crlplatform.KeyedRecord, at crlid.Position) (crlid.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appends++
	if m.down {
		return crlid.NoPosition, errDown
	}
	if end := m.end(topic); end.Offset != at.Offset {
		return crlid.NoPosition, &crlplatform.Conflict{End: end}
	}
	m.append(topic, record)
	return m.end(topic), nil
}

func (m *memoryStore) Join(_ context.Context, join crlplatform.Join) (crlplatform.Membership, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return crlplatform.Membership{}, errDown
	}
	if !slices.Contains(m.members, join.Member) {
		m.members = append(m.members, join.Member)
		m.generation++
	}
	membership := crlplatform.Membership{Era: m.era, Generation: m.generation}
	for n := range join.Topics * defaultStorePartitions {
		if m.members[(n+m.dealt)%len(m.members)] == join.Member {
			membership.Partitions = append(membership.Partitions, crlplatform.Partition{
				Topic: n / defaultStorePartitions, Number: n % defaultStorePartitions,
			})
		}
	}
	return membership, nil
}

func (m *memoryStore) Leave(context.Context, string, string) error { return nil }

func (m *memoryStore) Owners(context.Context, string) ([]crlplatform.Owner, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owners []crlplatform.Owner
	for i, member := range m.members {
		owners = append(owners, crlplatform.Owner{Partition: crlplatform.Partition{Number: i}, Member: member})
	}
	return owners, nil
}

// readCount returns the number of reads so far, counting each return from a wait.
func (m *memoryStore) readCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// values returns the values of a topic's records, by offset.
func (m *memoryStore) values(topic string) (values []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.topics[topic] {
		values = append(values, string(r.Value))
	}
	return values
}
