package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic. An empty value drops the key.
type record struct{ key, value string }

// group is the state of a group of members.
type group struct {
	generation int
	expiry     map[string]time.Time // by member
	order      []string             // members in the order in which they joined
	holder     map[string]string    // member by partition, which is named topic/number
	moved      map[string]int       // by partition that its holder is to give up: the generation that tells it so
}

func newGroup() *group {
	return &group{expiry: make(map[string]time.Time), holder: make(map[string]string), moved: make(map[string]int)}
}

func (g *group) clone() *group {
	return &group{
		generation: g.generation, expiry: maps.Clone(g.expiry), order: slices.Clone(g.order), holder: maps.Clone(g.holder),
		moved: maps.Clone(g.moved),
	}
}

// storeCopy is a copy of all that the store holds.
type storeCopy struct {
	topics map[string][]record
	groups map[string]*group
}

// store imitates the platform's store, as far as routers call it.
type store struct {
	rec     *recorder
	parts   int
	mu      sync.Mutex // guards the fields below
	topics  map[string][]record
	groups  map[string]*group
	changed chan struct{} // closed and replaced at each append
	era     int
	away    bool
	refused map[string]bool // by link: whether calls get 503
	delay   time.Duration   // of each answer
}

func newStore(rec *recorder) *store {
	return &store{
		rec: rec, parts: 12, topics: make(map[string][]record), groups: make(map[string]*group), changed: make(chan struct{}), era: 1,
		refused: make(map[string]bool),
	}
}

// serve opens an address for the calls of one router. Calls on a link that is refused get 503.
func (s *store) serve(link string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(w, r, link) })}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// put appends a record, as the operator and the engines do. It fails while the store is away.
func (s *store) put(topic, key, value string) (offset int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	return s.append(topic, record{key, value}), true
}

// append appends a record and returns its offset. The caller holds s.mu.
func (s *store) append(topic string, r record) (offset int) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

// end returns the end of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// copy returns a copy of the store.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{topics: make(map[string][]record), groups: make(map[string]*group)}
	for name, records := range s.topics {
		c.topics[name] = slices.Clone(records)
	}
	for name, g := range s.groups {
		c.groups[name] = g.clone()
	}
	return c
}

// leave takes the store away. Calls get 503, which states that nothing was done.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack brings the store back: as it was, or from a copy.
func (s *store) comeBack(from *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from == nil {
		return
	}
	s.topics, s.groups = from.topics, from.groups
	for _, g := range s.groups {
		for member := range g.expiry { // Times to live pause while the store is away.
			g.expiry[member] = time.Now().Add(6 * time.Second)
		}
	}
	s.era++
}

// refuse makes the calls on a link get 503, or serves them again.
func (s *store) refuse(link string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[link] = refused
}

func (s *store) answer(w http.ResponseWriter, r *http.Request, link string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.delay)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	unavailable := s.away || s.refused[link]
	s.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /log-read":
		s.read(w, r)
	case "GET /log-newest":
		s.newest(w, q.Get("topic"), q.Get("after"))
	case "POST /log-append":
		s.appendCall(w, q.Get("topic"), q.Get("at"), body)
	case "POST /log-join":
		s.join(w, body)
	case "POST /log-leave":
		var j groupCall
		_ = json.Unmarshal(body, &j)
		s.mu.Lock()
		s.group(j.Group).remove(j.Member)
		s.mu.Unlock()
	case "GET /log-owners":
		s.owners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// read answers with records from an offset on, as soon as there is one, or at the end of waitMs. An offset that the topic doesn't have gets 410.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed, away := s.topics[topic], s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > len(records):
			reply(w, http.StatusGone, map[string]int{"first": 0})
			return
		case from < len(records) || !waiting:
			raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, rec := range records[from:] {
				raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
				raw = append(raw, byte(len(rec.key)))
				raw = append(append(raw, rec.key...), rec.value...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

const pageRecords = 500

// newest answers with a page of the newest record of each key.
func (s *store) newest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	newest := make(map[string]item)
	for offset, r := range s.topics[topic] {
		newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString([]byte(r.value)), offset}
		if r.value == "" {
			delete(newest, r.key)
		}
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	items := []item{}
	for _, i := range newest {
		if i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageRecords
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageRecords)], "more": more, "end": end})
}

// appendCall appends the records of a call, if the topic ends at the offset that it names.
func (s *store) appendCall(w http.ResponseWriter, topic, at string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(first) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		s.append(topic, record{string(content[1 : 1+content[0]]), string(content[1+content[0]:])})
		body = body[4+size:]
	}
	reply(w, http.StatusOK, map[string]int{"offset": first, "end": len(s.topics[topic])})
}

// groupCall is the body of a call that joins or leaves a group.
type groupCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int      `json:"ttlMs"`
	Generation int      `json:"generation"`
}

// group returns a group. The caller holds s.mu.
func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = newGroup()
		s.groups[name] = g
	}
	return g
}

// remove removes a member, whose partitions become free.
func (g *group) remove(member string) {
	if _, ok := g.expiry[member]; !ok {
		return
	}
	delete(g.expiry, member)
	g.order = slices.DeleteFunc(g.order, func(m string) bool { return m == member })
	for p, holder := range g.holder {
		if holder == member {
			delete(g.holder, p)
			delete(g.moved, p)
		}
	}
	g.generation++
}

func (g *group) expire() {
	for member, end := range g.expiry {
		if time.Now().After(end) {
			g.remove(member)
		}
	}
}

// join adds a member to a group or keeps it in it, and lists its partitions, which are distributed evenly. A partition that a member is to give up
// is no longer listed, and another member gets it once the holder has joined with the generation that told it so.
func (s *store) join(w http.ResponseWriter, body []byte) {
	var j groupCall
	if json.Unmarshal(body, &j) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(j.Group)
	g.expire()
	if _, ok := g.expiry[j.Member]; !ok {
		g.order = append(g.order, j.Member)
		g.generation++
	}
	g.expiry[j.Member] = time.Now().Add(time.Duration(j.TTLMS) * time.Millisecond)
	share := (len(j.Topics)*s.parts + len(g.order) - 1) / len(g.order)
	rows, owned := [][]any{}, 0
	for _, topic := range j.Topics {
		for n := range s.parts {
			p := topic + "/" + strconv.Itoa(n)
			told, isMoved := g.moved[p]
			if isMoved && g.holder[p] == j.Member && j.Generation >= told {
				delete(g.moved, p)
				delete(g.holder, p)
				continue
			}
			holder, taken := g.holder[p]
			switch {
			case isMoved, taken && holder != j.Member:
			case owned == share && taken:
				g.moved[p] = g.generation
			case owned < share:
				g.holder[p] = j.Member
				owned++
				rows = append(rows, []any{topic, n, 0})
			}
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttlMs": j.TTLMS, "parts": rows})
}

// owners lists the partitions of a group with their members.
func (s *store) owners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name)
	g.expire()
	rows := [][]any{}
	for _, p := range slices.Sorted(maps.Keys(g.holder)) {
		i := len(p) - 1
		for p[i] != '/' {
			i--
		}
		n, _ := strconv.Atoi(p[i+1:])
		rows = append(rows, []any{p[:i], n, g.holder[p], 0})
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}
