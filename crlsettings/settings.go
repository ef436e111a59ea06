package crlsettings

import (
	"encoding/base64"
	"net/url"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlini"
	"github.com/cranberrylock/cranberrylock/crlsession"
)

// Settings are the settings that a daemon reads at its start. Addresses are IP addresses with a port.
type Settings struct {
	Name       crlid.Daemon
	Domain     crlid.Domain
	Listen     string                      // address for callers
	Admin      string                      // address for operators and metrics
	Peer       string                      // address for other daemons
	LogURL     string                      // URL of the platform's log service
	VMListURL  string                      // empty if the platform has no list of VMs
	RatingsURL string                      // URL of the rating service, empty if answers are not rated
	Peers      map[crlid.Daemon]string     // addresses at which the other daemons serve their peers
	Keys       map[crlsession.KeyID][]byte // secrets of the keys that seal tokens
	NewestKey  crlsession.KeyID            // key that seals new tokens; the others only open the tokens that they sealed
	Limits     Limits
}

// Limits are the limits, time-outs and intervals of a daemon.
type Limits struct {
	Requests      int           // requests handled concurrently
	BodyBytes     int64         // body of one request
	Attempts      int           // sends of one idempotent request
	Freshness     time.Duration // greatest age of the configuration's newest confirmation at which new requests are accepted
	Claim         time.Duration // wait for the verdict on a claim
	Dispatch      time.Duration // time after the start of its claim within which a call may be sent
	Record        time.Duration // wait until an outcome or a bill is durable
	Answer        time.Duration // one call of a plain service
	EngineHeader  time.Duration // wait for the header of a model engine's answer
	KeyLifetime   time.Duration // time for which an idempotency key is retained
	CheckpointAge time.Duration // age at which a checkpoint is replaced; at most a quarter of the log's retention
	AppendBudget  int           // appends to the log per second, for all daemons together
	Heartbeat     time.Duration // interval between heartbeats
	Lease         time.Duration // time for which a home may grant permits after its roster was last confirmed
	ClockRate     float64       // largest ratio between the speeds of two VMs' clocks, above 1
	DrainDelay    time.Duration // time that the balancer needs to notice that a daemon is draining
	PermitExpiry  time.Duration // time for which a permit may wait until its attempt is sent
	PermitHold    time.Duration // longest attempt; after it, the permit of an unresponsive holder no longer counts as used
	RatingTimeout time.Duration // one call of the rating service
	RatingRate    int           // ratings per second, for all daemons together
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

// Parse parses the content of a settings file. Its error is a *crlini.Error with every problem found; name is the file name in it.
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

// parseSection sets the settings of one section, and records the section's problems for the error of Parse.
func (settings *Settings) parseSection(s *crlini.Section) {
	if named := s.Kind == "peer" || s.Kind == "key"; named && s.ID == "" {
		s.Problemf("", "section needs a name, such as [%s NAME]", s.Kind)
		return
	}
	switch s.Kind {
	case "daemon":
		settings.Name = crlid.Daemon(s.Required("name"))
		settings.Domain = crlid.Domain(s.Required("failure-domain"))
		settings.Listen, settings.Admin, settings.Peer = s.Address("listen"), s.Address("admin-listen"), s.Address("peer-listen")
	case "platform":
		settings.LogURL = parseURL(s, "log", true)
		settings.VMListURL = parseURL(s, "vm-list", false)
		settings.RatingsURL = parseURL(s, "ratings", false)
	case "peer":
		settings.Peers[crlid.Daemon(s.ID)] = s.Address("address")
	case "keys":
		settings.NewestKey = crlsession.KeyID(s.Required("newest"))
	case "key":
		settings.parseKey(s)
	case "limits":
		settings.parseLimits(s)
	default:
		s.Problemf("", "unknown section, allowed are daemon, platform, peer, keys, key, limits")
	}
}

func (settings *Settings) parseKey(s *crlini.Section) {
	raw, err := base64.StdEncoding.DecodeString(s.Required("secret"))
	if err != nil || len(raw) != crlsession.KeyBytes {
		s.Problemf("secret", "key \"secret\" must be %d bytes in base64", crlsession.KeyBytes)
	}
	settings.Keys[crlsession.KeyID(s.ID)] = raw
}

// checkNewestKey checks that the newest key, by which the daemon seals tokens, is among the keys.
func (settings *Settings) checkNewestKey(s *crlini.Section) {
	if _, ok := settings.Keys[settings.NewestKey]; s.Kind == "keys" && settings.NewestKey != "" && !ok {
		s.Problemf("newest", "no section [key %s]", settings.NewestKey)
	}
}

func (settings *Settings) parseLimits(s *crlini.Section) {
	l := &settings.Limits
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

// parseURL returns the URL of a key, which may be missing unless it is required.
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
