package crlsettings

import (
	"encoding/base64"
	"net/url"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
	"github.com/cranberrylock/cranberrylock/crlsession"
)

// Settings are what one daemon reads at its start.
type Settings struct {
	Name       crlid.Daemon
	Domain     crlid.Domain
	Listen     string // Listen is the address for callers.
	Admin      string // Admin is the address for operators and metrics.
	Peer       string // Peer is the address for other daemons.
	LogURL     string
	VMListURL  string // VMsURL is empty when the platform has no VM list.
	RatingsURL string // RateURL is empty when answers are not rated.
	Peers      map[crlid.Daemon]string
	Keys       map[crlsession.KeyID][]byte
	NewestKey  crlsession.KeyID
	Limits     Limits
}

// Limits are the bounds and periods of a daemon.
type Limits struct {
	Requests      int           // Requests bounds the requests carried at once.
	BodyBytes     int64         // BodyBytes bounds the body of a request.
	Attempts      int           // Attempts bounds the sends of an idempotent request.
	Freshness     time.Duration // Freshness is the oldest proof of the configuration that takes new work.
	Claim         time.Duration // Claim bounds the wait for the verdict on a claim.
	Dispatch      time.Duration // Dispatch is how long after its claim a call may be sent.
	Record        time.Duration // Record bounds the wait for the log with an outcome or a bill.
	Answer        time.Duration // Answer bounds a call of a plain service.
	EngineHeader  time.Duration // EngineHeader bounds the wait for the head of a model engine's answer.
	KeyLifetime   time.Duration // KeyLifetime is how long an idempotency key is remembered.
	CheckpointAge time.Duration // CheckpointAge is when a checkpoint is replaced, at most a quarter of the log's retention.
	AppendBudget  int           // AppendBudget is the log's appends per second for all daemons together.
	Heartbeat     time.Duration // Heartbeat is the period of heartbeats.
	Lease         time.Duration // Lease is how long a home may grant without a confirmation.
	ClockRate     float64       // ClockRate bounds how much faster one VM's clock runs than another's, as a ratio above 1.
	DrainDelay    time.Duration // DrainDelay is the time that the balancer needs to see that a daemon leaves.
	PermitExpiry  time.Duration // PermitExpiry is how long a permit may wait before its attempt is sent.
	PermitHold    time.Duration // PermitHold bounds an attempt, and so how long a silent holder's permit counts as used.
	RatingTimeout time.Duration // RatingTimeout bounds one call of the rating service.
	RatingRate    int           // RatingRate is the ratings per second of all daemons together.
}

// DefaultLimits are the limits of a daemon whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		Requests: 4096, BodyBytes: 4 << 20, Attempts: 3,
		Freshness: 2500 * time.Millisecond, Claim: 3 * time.Second, Dispatch: 10 * time.Second,
		Record: 3 * time.Second, Answer: 30 * time.Second, EngineHeader: 30 * time.Second,
		KeyLifetime: 24 * time.Hour, CheckpointAge: time.Hour, AppendBudget: 300,
		Heartbeat: 500 * time.Millisecond, Lease: 4 * time.Second, ClockRate: 1.01,
		DrainDelay: time.Second, PermitExpiry: 2 * time.Second, PermitHold: 10 * time.Minute, RatingTimeout: 2 * time.Second,
		RatingRate: 20,
	}
}

// Parse checks the content of a settings file and returns a *crlini.Error with every problem.
func Parse(name string, content []byte) (*Settings, error) {
	file, err := crlini.Read(name, content)
	if err != nil {
		return nil, err
	}
	settings := &Settings{
		Peers: make(map[crlid.Daemon]string), Keys: make(map[crlsession.KeyID][]byte), Limits: DefaultLimits(),
	}
	seen := make(map[string]bool)
	for _, s := range file.Sections() {
		seen[s.Kind] = true
		settings.parseSection(s)
		s.Finish()
	}
	for _, s := range file.Sections() {
		settings.checkNewestKey(s)
	}
	for _, kind := range []string{"daemon", "platform", "keys"} {
		if !seen[kind] {
			file.Problemf("section [%s] is required", kind)
		}
	}
	if err := file.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func (t *Settings) parseSection(s *crlini.Section) {
	if named := s.Kind == "peer" || s.Kind == "key"; named && s.ID == "" {
		s.Problemf("", "section needs a name, such as [%s NAME]", s.Kind)
		return
	}
	switch s.Kind {
	case "daemon":
		t.Name = crlid.Daemon(s.Required("name"))
		t.Domain = crlid.Domain(s.Required("failure-domain"))
		t.Listen, t.Admin, t.Peer = s.Address("listen"), s.Address("admin-listen"), s.Address("peer-listen")
	case "platform":
		t.LogURL = parseURL(s, "log", true)
		t.VMListURL = parseURL(s, "vm-list", false)
		t.RatingsURL = parseURL(s, "ratings", false)
	case "peer":
		t.Peers[crlid.Daemon(s.ID)] = s.Address("address")
	case "keys":
		t.NewestKey = crlsession.KeyID(s.Required("newest"))
	case "key":
		t.parseKey(s)
	case "limits":
		t.parseLimits(s)
	default:
		s.Problemf("", "unknown section, allowed are daemon, platform, peer, keys, key, limits")
	}
}

func (t *Settings) parseKey(s *crlini.Section) {
	raw, err := base64.StdEncoding.DecodeString(s.Required("secret"))
	if err != nil || len(raw) != crlsession.KeyBytes {
		s.Problemf("secret", "key \"secret\" must be %d bytes in base64", crlsession.KeyBytes)
	}
	t.Keys[crlsession.KeyID(s.ID)] = raw
}

// checkNewest checks that the key that seals is among the keys.
func (t *Settings) checkNewestKey(s *crlini.Section) {
	if _, ok := t.Keys[t.NewestKey]; s.Kind == "keys" && t.NewestKey != "" && !ok {
		s.Problemf("newest", "no section [key %s]", t.NewestKey)
	}
}

func (t *Settings) parseLimits(s *crlini.Section) {
	l := &t.Limits
	l.Requests = s.Int("requests", l.Requests, 1)
	l.BodyBytes = int64(s.Int("body-bytes", int(l.BodyBytes), 1))
	l.Attempts = s.Int("attempts", l.Attempts, 1)
	l.Freshness = s.Duration("freshness", l.Freshness)
	l.Claim = s.Duration("claim", l.Claim)
	l.Dispatch = s.Duration("dispatch", l.Dispatch)
	l.Record = s.Duration("record", l.Record)
	l.Answer = s.Duration("answer", l.Answer)
	l.EngineHeader = s.Duration("engine-header", l.EngineHeader)
	l.KeyLifetime = s.Duration("key-lifetime", l.KeyLifetime)
	l.CheckpointAge = s.Duration("checkpoint-age", l.CheckpointAge)
	l.AppendBudget = s.Int("append-budget", l.AppendBudget, 1)
	l.Heartbeat = s.Duration("heartbeat", l.Heartbeat)
	l.Lease = s.Duration("lease", l.Lease)
	l.ClockRate = s.Float("clock-rate", l.ClockRate, 1, 2)
	l.DrainDelay = s.Duration("drain-delay", l.DrainDelay)
	l.PermitExpiry = s.Duration("permit-expiry", l.PermitExpiry)
	l.PermitHold = s.Duration("permit-hold", l.PermitHold)
	l.RatingTimeout = s.Duration("rating-timeout", l.RatingTimeout)
	l.RatingRate = s.Int("rating-rate", l.RatingRate, 1)
}

func parseURL(s *crlini.Section, key string, required bool) string {
	text := s.Text(key, "")
	if text == "" && !required {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		s.Problemf(key, "key %q is %q, allowed is a URL such as http://127.0.0.1:9000", key, text)
	}
	return text
}
