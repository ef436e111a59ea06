package crlsettings

import (
	"encoding/base64"
	"net/url"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
	"github.com/cranberrylock/cranberrylock/crlsession"
)

// Settings holds the content of a daemon's settings file, which the daemon reads when it starts. Addresses are IP addresses with a
// port.
type Settings struct {
	Name        crlid.Daemon
	Domain      crlid.Domain
	Listen      string                      // address on which the daemon serves callers
	AdminListen string                      // address on which the daemon serves operators and metrics
	PeerListen  string                      // address on which the daemon serves the other daemons
	LogURL      string                      // URL of the platform's log service
	VMListURL   string                      // empty if the platform has no list of VMs
	RatingsURL  string                      // URL of the rating service, empty if answers are not rated
	Peers       map[crlid.Daemon]string     // PeerListen of each other daemon
	Keys        map[crlsession.KeyID][]byte // secrets of the keys that seal tokens
	NewestKey   crlsession.KeyID            // key that seals new tokens; the others only open the tokens that they sealed
	Limits      Limits
}

// Limits holds the limits, timeouts and intervals of a daemon.
type Limits struct {
	Requests      int           // largest number of requests handled concurrently
	BodyBytes     int64         // largest size of one request's body
	Attempts      int           // largest number of attempts for one idempotent request
	Freshness     time.Duration // greatest age of the configuration's newest confirmation at which new requests are accepted
	Claim         time.Duration // longest wait for the verdict on a claim
	Dispatch      time.Duration // time after the start of its claim within which a non-idempotent call may be sent
	Record        time.Duration // longest wait until an outcome or a bill is durable
	Answer        time.Duration // longest time for a call of a plain service
	EngineHeader  time.Duration // longest wait for the header of a model engine's answer
	KeyLifetime   time.Duration // time for which an idempotency key is retained
	CheckpointAge time.Duration // age at which a checkpoint is replaced; at most a quarter of the log's retention
	AppendBudget  int           // appends to the log per second, for all daemons together
	Heartbeat     time.Duration // interval between heartbeats
	Lease         time.Duration // time for which a home may grant permits after its roster was last confirmed
	ClockRate     float64       // largest ratio between the speeds of two VMs' clocks, above 1
	DrainDelay    time.Duration // time that the load balancer needs to notice that a daemon is draining
	PermitExpiry  time.Duration // time for which a permit may wait until its attempt is sent
	PermitHold    time.Duration // longest time of an attempt; after it, the permit of an unresponsive holder no longer counts as used
	RatingTimeout time.Duration // longest time for a call of the rating service
	RatingRate    int           // largest number of ratings per second, for all daemons together
}

// DefaultLimits returns the limits that apply where the settings file sets none.
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

// Parse parses the content of a settings file; limits that the file does not set are those of DefaultLimits. The error is a
// *crlini.Error with every problem found, each with name as the file's name.
func Parse(name string, content []byte) (*Settings, error) {
	file, err := crlini.Read(name, content)
	if err != nil {
		return nil, err
	}
	settings := &Settings{
		Peers: make(map[crlid.Daemon]string), Keys: make(map[crlsession.KeyID][]byte), Limits: DefaultLimits(),
	}
	seen := make(map[string]bool)
	for _, section := range file.Sections() {
		seen[section.Kind] = true
		settings.parseSection(section)
		section.Finish()
	}
	for _, section := range file.Sections() {
		settings.checkNewestKey(section)
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

// parseSection sets the settings of one section, and records the section's problems for the error of Parse.
func (s *Settings) parseSection(section *crlini.Section) {
	if named := section.Kind == "peer" || section.Kind == "key"; named && section.ID == "" {
		section.Problemf("", "section needs a name, such as [%s NAME]", section.Kind)
		return
	}
	switch section.Kind {
	case "daemon":
		s.Name = crlid.Daemon(section.Required("name"))
		s.Domain = crlid.Domain(section.Required("failure-domain"))
		s.Listen, s.AdminListen, s.PeerListen = section.Address("listen"), section.Address("admin-listen"), section.Address("peer-listen")
	case "platform":
		s.LogURL = parseURL(section, "log", true)
		s.VMListURL = parseURL(section, "vm-list", false)
		s.RatingsURL = parseURL(section, "ratings", false)
	case "peer":
		s.Peers[crlid.Daemon(section.ID)] = section.Address("address")
	case "keys":
		s.NewestKey = crlsession.KeyID(section.Required("newest"))
	case "key":
		s.parseKey(section)
	case "limits":
		s.parseLimits(section)
	default:
		section.Problemf("", "unknown section, allowed are daemon, platform, peer, keys, key, limits")
	}
}

func (s *Settings) parseKey(section *crlini.Section) {
	raw, err := base64.StdEncoding.DecodeString(section.Required("secret"))
	if err != nil || len(raw) != crlsession.KeyBytes {
		section.Problemf("secret", "key \"secret\" must be %d bytes in base64", crlsession.KeyBytes)
	}
	s.Keys[crlsession.KeyID(section.ID)] = raw
}

// checkNewestKey records a problem in the section [keys] if the key with which new tokens are sealed has no section of its own.
func (s *Settings) checkNewestKey(section *crlini.Section) {
	if _, ok := s.Keys[s.NewestKey]; section.Kind == "keys" && s.NewestKey != "" && !ok {
		section.Problemf("newest", "no section [key %s]", s.NewestKey)
	}
}

func (s *Settings) parseLimits(section *crlini.Section) {
	l := &s.Limits
	l.Requests = section.Int("requests", l.Requests, 1)
	l.BodyBytes = int64(section.Int("body-bytes", int(l.BodyBytes), 1))
	l.Attempts = section.Int("attempts", l.Attempts, 1)
	l.Freshness = section.Duration("freshness", l.Freshness)
	l.Claim = section.Duration("claim", l.Claim)
	l.Dispatch = section.Duration("dispatch", l.Dispatch)
	l.Record = section.Duration("record", l.Record)
	l.Answer = section.Duration("answer", l.Answer)
	l.EngineHeader = section.Duration("engine-header", l.EngineHeader)
	l.KeyLifetime = section.Duration("key-lifetime", l.KeyLifetime)
	l.CheckpointAge = section.Duration("checkpoint-age", l.CheckpointAge)
	l.AppendBudget = section.Int("append-budget", l.AppendBudget, 1)
	l.Heartbeat = section.Duration("heartbeat", l.Heartbeat)
	l.Lease = section.Duration("lease", l.Lease)
	l.ClockRate = section.Float("clock-rate", l.ClockRate, 1, 2)
	l.DrainDelay = section.Duration("drain-delay", l.DrainDelay)
	l.PermitExpiry = section.Duration("permit-expiry", l.PermitExpiry)
	l.PermitHold = section.Duration("permit-hold", l.PermitHold)
	l.RatingTimeout = section.Duration("rating-timeout", l.RatingTimeout)
	l.RatingRate = section.Int("rating-rate", l.RatingRate, 1)
}

// parseURL returns the URL of a key, which may be missing unless it is required.
func parseURL(section *crlini.Section, key string, required bool) string {
	text := section.Text(key, "")
	if text == "" && !required {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		section.Problemf(key, "key %q is %q, allowed is a URL such as http://127.0.0.1:9000", key, text)
	}
	return text
}
