package crlini

import (
	"encoding"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is one section of a file, named "kind id" or only "kind".
//
// Its methods read values by key. A method that finds a value invalid adds a problem at the key and returns the fallback.
type Section struct {
	Kind string // first word of the section's name
	ID   string // rest of the section's name, empty for a section without an identifier

	file      *File
	section   *ini.Section
	knownKeys []string // keys that methods were called with, in the order of the calls
}

// Problemf adds a problem at a key of the section, or at the section's header when key is empty or absent.
func (s *Section) Problemf(key, format string, args ...any) {
	s.file.addProblem(s.section.Name(), s.file.index.lineOf(s.section.Name(), key), fmt.Sprintf(format, args...))
}

// Has reports whether the section has the key. From then on the key is known, so that Finish does not report it.
func (s *Section) Has(key string) bool {
	s.knownKeys = append(s.knownKeys, key)
	return s.section.HasKey(key)
}

// Text returns the value of a key, or the fallback when the key is absent.
func (s *Section) Text(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.section.Key(key).String()
}

// Required returns the value of a key and adds a problem when it is absent or empty.
func (s *Section) Required(key string) string {
	value := s.Text(key, "")
	if value == "" {
		s.Problemf(key, "key %q is required", key)
	}
	return value
}

// List returns the comma-separated values of a key, without surrounding spaces and without empty ones.
func (s *Section) List(key string) []string {
	var values []string
	for _, v := range strings.Split(s.Text(key, ""), ",") {
		if v = strings.TrimSpace(v); v != "" {
			values = append(values, v)
		}
	}
	return values
}

// Int returns the value of a key as a whole number of at least low.
func (s *Section) Int(key string, fallback, low int) int {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low {
		s.Problemf(key, "key %q is %q, allowed is a whole number from %d", key, text, low)
		return fallback
	}
	return n
}

// Float returns the value of a key as a number from low to high.
func (s *Section) Float(key string, fallback, low, high float64) float64 {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= low && x <= high) {
		s.Problemf(key, "key %q is %q, allowed is a number from %g to %g", key, text, low, high)
		return fallback
	}
	return x
}

// Bool returns whether the value of a key is "yes" rather than "no".
func (s *Section) Bool(key string, fallback bool) bool {
	switch text := s.Text(key, ""); text {
	case "":
		return fallback
	case "yes":
		return true
	case "no":
		return false
	default:
		s.Problemf(key, "key %q is %q, allowed is yes or no", key, text)
		return fallback
	}
}

// Duration returns the value of a key as a positive duration in Go's notation, such as 250ms or 5s.
func (s *Section) Duration(key string, fallback time.Duration) time.Duration {
	text := s.Text(key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		s.Problemf(key, "key %q is %q, allowed is a positive duration such as 250ms or 5s", key, text)
		return fallback
	}
	return d
}

// Address returns the value of a key that must be an IP address with a port. An invalid value is returned too, with a problem.
func (s *Section) Address(key string) string {
	text := s.Required(key)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		s.Problemf(key, "key %q is %q, allowed is an IP number and a port such as 127.0.0.1:8080", key, text)
	}
	return text
}

// Enum decodes the value of a key, or the fallback, into target, a generated enum. allowed holds the texts of the enum's
// values, which the problem lists.
func (s *Section) Enum(key, fallback string, target encoding.TextUnmarshaler, allowed []string) {
	text := s.Text(key, fallback)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		s.Problemf(key, "key %q is %q, allowed is one of %s", key, text, strings.Join(allowed, ", "))
	}
}

// Finish adds a problem for each key that no method of the section was called with. It adds none if no method was called at
// all: then the section itself is unknown, which the caller reports.
func (s *Section) Finish() {
	if len(s.knownKeys) == 0 {
		return
	}
	known := make(map[string]bool, len(s.knownKeys))
	for _, k := range s.knownKeys {
		known[k] = true
	}
	for _, k := range s.section.KeyStrings() {
		if !known[k] {
			s.Problemf(k, "unknown key %q, allowed are %s", k, strings.Join(s.knownKeys, ", "))
		}
	}
}
