package crlsession

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// newSealer returns a Sealer with the given keys. The bytes of a key depend only on the first letter of its identifier.
func newSealer(t testing.TB, newest KeyID, keys ...KeyID) *Sealer {
	t.Helper()
	config := SealerConfig{Keys: make(map[KeyID][]byte), Newest: newest}
	for _, id := range keys {
		config.Keys[id] = bytes.Repeat([]byte(id[:1]), KeyBytes)
	}
	s, err := NewSealer(config)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func drawSession(t *rapid.T) Session {
	return Session{
		ID: crlid.Session(rapid.String().Draw(t, "id")), Organisation: crlid.Organisation(rapid.String().Draw(t, "organisation")),
		Version: crlid.Version(rapid.String().Draw(t, "version")), Server: crlid.Server(rapid.String().Draw(t, "server")),
	}
}

func TestSessionOpensWhileItsKeyIsConfigured(t *testing.T) {
	old, both := newSealer(t, "a.2025", "a.2025"), newSealer(t, "b", "a.2025", "b")
	rotated := newSealer(t, "b", "b")
	rapid.Check(t, func(t *rapid.T) {
		session := drawSession(t)
		token, err := old.SealSession(session)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range []*Sealer{old, both} {
			if got, err := s.OpenSession(token); err != nil || got != session {
				t.Fatalf("token opened as %+v (error %v), want %+v", got, err, session)
			}
		}
		if _, err := rotated.OpenSession(token); !errors.Is(err, ErrRefused) {
			t.Fatalf("opening a token of a removed key: got error %v, want %v", err, ErrRefused)
		}
		resealed, err := both.SealSession(session)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := rotated.OpenSession(resealed); err != nil || got != session {
			t.Fatalf("a token sealed after the rotation opened as %+v (error %v), want the newest key to open it", got, err)
		}
	})
}

func TestChangedTokenIsRefused(t *testing.T) {
	s := newSealer(t, "a", "a", "b")
	rapid.Check(t, func(t *rapid.T) {
		token, err := s.SealSession(drawSession(t))
		if err != nil {
			t.Fatal(err)
		}
		changed := []byte(token)
		i := rapid.IntRange(0, len(changed)-1).Draw(t, "place")
		switch rapid.IntRange(0, 2).Draw(t, "change") {
		case 0:
			changed[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		case 1:
			changed = changed[:i]
		case 2:
			changed = append(changed, changed[i])
		}
		if _, err := s.OpenSession(string(changed)); !errors.Is(err, ErrRefused) {
			t.Fatalf("changed token %q of %q: got error %v, want ErrRefused", changed, token, err)
		}
	})
}

func TestTokenOfOneKindIsRefusedAsTheOther(t *testing.T) {
	s := newSealer(t, "a", "a")
	session, err := s.SealSession(Session{ID: "s", Organisation: "o", Version: "v"})
	if err != nil {
		t.Fatal(err)
	}
	stream, err := s.SealStream(Stream{Request: "r", Organisation: "o", Version: "v"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.OpenStream(session); !errors.Is(err, ErrRefused) {
		t.Errorf("opening a session token as a stream token: got error %v, want ErrRefused", err)
	}
	if _, err := s.OpenSession(stream); !errors.Is(err, ErrRefused) {
		t.Errorf("opening a stream token as a session token: got error %v, want ErrRefused", err)
	}
}

// FuzzOpenSession checks that no forged token opens. The seeds come from another key, because the fuzzer could restore a
// valid token from a seed that is close to one.
func FuzzOpenSession(f *testing.F) {
	s := newSealer(f, "a", "a", "b")
	token, err := newSealer(f, "c", "c").SealSession(Session{ID: "s", Organisation: "o", Version: "v"})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", ".", "a", "a.", "b.AAAA", token, "a." + token[2:], "b." + token[2:len(token)-1]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, forged string) {
		if _, err := s.OpenSession(forged); !errors.Is(err, ErrRefused) {
			t.Errorf("forged token %q: got error %v, want %v", forged, err, ErrRefused)
		}
	})
}
