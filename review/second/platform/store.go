package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is one record of a keyed topic; an empty value deletes the key.
type entry struct{ key, value string }

type partition struct {
	topic  string
	number int
}

// store is the platform's metadata store: keyed topics, conditional appends and one group of members.
type store struct {
	mu       sync.Mutex
	topics   map[string][]entry
	appended chan struct{} // closed and replaced with each record

	expiry     map[string]time.Time // by member
	order      []string             // members in the order in which they joined
	owners     map[partition]string
	generation int
}

func newStore() *store {
	return &store{
		topics: make(map[string][]entry), appended: make(chan struct{}), expiry: make(map[string]time.Time),
		owners: make(map[partition]string),
	}
}

// put appends a record, as the operator and the servers do, and returns when the store has it.
func (s *store) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, entry{key, string(text)})
}

func (s *store) append(topic string, e entry) {
	s.topics[topic] = append(s.topics[topic], e)
	close(s.appended)
	s.appended = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/log-read":
		s.read(w, r, topic)
	case "/log-newest":
		s.list(w, topic)
	case "/log-append":
		s.appendAt(w, topic, query.Get("at"), body)
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		var member struct{ Member string }
		_ = json.Unmarshal(body, &member)
		s.mu.Lock()
		s.drop(member.Member)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	case "/log-owners":
		s.mu.Lock()
		s.expire()
		rows := [][]any{}
		for p, member := range s.owners {
			rows = append(rows, []any{p.topic, p.number, member, 0})
		}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"parts": rows})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topics[topic], s.appended
		s.mu.Unlock()
		if from > len(records) {
			reply(w, http.StatusGone, map[string]int{"first": 0})
			return
		}
		raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		raw = binary.BigEndian.AppendUint64(raw, 0)
		if from < len(records) {
			for _, e := range records[from:] {
				raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(e.key)+len(e.value)))
				raw = append(append(append(raw, byte(len(e.key))), e.key...), e.value...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			_, _ = w.Write(raw)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey := make(map[string]item)
	for offset, e := range s.topics[topic] {
		byKey[e.key] = item{e.key, base64.StdEncoding.EncodeToString([]byte(e.value)), offset}
	}
	items := []item{}
	for _, i := range byKey {
		if i.Value != "" {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(s.topics[topic])})
}

func (s *store) appendAt(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	count := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || 4+size > len(body) || 1+int(body[4]) > size {
			break
		}
		content := body[4 : 4+size]
		key := int(content[0])
		s.append(topic, entry{string(content[1 : 1+key]), string(content[1+key:])})
		body = body[4+size:]
		count++
	}
	reply(w, http.StatusOK, map[string]int{"offset": end, "end": end + count})
}

// partitions is the number of partitions of each topic of the group.
const partitions = 12

func (s *store) join(w http.ResponseWriter, body []byte) {
	var j struct {
		Member string
		Topics []string
		TTLMs  int
	}
	if json.Unmarshal(body, &j) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, ok := s.expiry[j.Member]; !ok {
		s.order = append(s.order, j.Member)
		s.generation++
		s.deal(j.Topics)
	}
	s.expiry[j.Member] = time.Now().Add(time.Duration(j.TTLMs) * time.Millisecond)
	rows := [][]any{}
	for _, topic := range j.Topics {
		for n := range partitions {
			if s.owners[partition{topic, n}] == j.Member {
				rows = append(rows, []any{topic, n, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "ttlMs": j.TTLMs, "parts": rows})
}

// deal assigns all partitions anew, evenly.
func (s *store) deal(topics []string) {
	n := 0
	for _, topic := range topics {
		for p := range partitions {
			if len(s.order) > 0 {
				s.owners[partition{topic, p}] = s.order[n%len(s.order)]
			}
			n++
		}
	}
}

func (s *store) expire() {
	for member, end := range s.expiry {
		if time.Now().After(end) {
			s.drop(member)
		}
	}
}

func (s *store) drop(member string) {
	if _, ok := s.expiry[member]; !ok {
		return
	}
	delete(s.expiry, member)
	kept := s.order[:0]
	for _, m := range s.order {
		if m != member {
			kept = append(kept, m)
		}
	}
	s.order = kept
	for p, owner := range s.owners {
		if owner == member {
			delete(s.owners, p)
			if len(s.order) > 0 {
				s.owners[p] = s.order[p.number%len(s.order)]
			}
		}
	}
	s.generation++
}
