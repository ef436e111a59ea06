package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"github.com/cranberrylock/cranberrylock/crlentry"
)

// takeDomainOut takes a failure domain out of service under traffic, checks that new requests run in other domains, and puts
// the domain back into service.
func (s *scenario) takeDomainOut(ctx context.Context) error {
	section := "domain " + string(demoDomain)
	withoutDomain, err := setKey(s.content, section, "state", "out")
	if err != nil {
		return err
	}
	withDomain := s.content
	if err := s.apply(ctx, withoutDomain); err != nil {
		return err
	}
	if err := s.sendChatsUntil(ctx, time.Now().Add(domainOutTraffic)); err != nil {
		return err
	}
	if err := s.checkDomainOut(); err != nil {
		return err
	}
	return s.apply(ctx, withDomain)
}

// sendChatsUntil sends chat requests to every daemon until the time end, one after the other at each, and checks that all
// answers are complete.
func (s *scenario) sendChatsUntil(ctx context.Context, end time.Time) error {
	failures := make([]error, len(s.daemons))
	answers := make([][]answer, len(s.daemons))
	var senders sync.WaitGroup
	for i, d := range s.daemons {
		senders.Go(func() {
			for time.Now().Before(end) && failures[i] == nil {
				var a answer
				a, failures[i] = s.chat(ctx, d, "auto", "")
				answers[i] = append(answers[i], a)
			}
		})
	}
	senders.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	for _, list := range answers {
		for _, a := range list {
			if err := s.checkComplete(a); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDomainOut checks what the backend servers ran: some requests in demoDomain before it was taken out and, later than
// domainOutLimit after that, none there but some in other domains.
func (s *scenario) checkDomainOut() error {
	before, elsewhere := 0, 0                 // requests in demoDomain before it was taken out; requests in other domains after limit
	limit := s.acceptedAt.Add(domainOutLimit) // from this time on demoDomain must get no new requests
	for _, r := range s.environment.Platform.History.Runs() {
		inDomain := s.domainOf[r.Server] == demoDomain
		switch {
		case inDomain && r.Time.After(limit):
			return fmt.Errorf("%s began request %s %s after its domain was taken out", r.Server, r.Request, r.Time.Sub(s.acceptedAt))
		case inDomain && r.Time.Before(s.acceptedAt):
			before++
		case r.Time.After(limit):
			elsewhere++
		}
	}
	if before == 0 || elsewhere == 0 {
		return fmt.Errorf("too little traffic to judge: %d requests ran in the domain before it was taken out, %d elsewhere afterwards",
			before, elsewhere)
	}
	return nil
}

// resumeAnswer stops a daemon abruptly in the middle of an answer and reads the rest of the answer from another daemon.
func (s *scenario) resumeAnswer(ctx context.Context) error {
	aborted, other := s.daemons[0], s.daemons[1]
	response, err := s.sendChat(ctx, aborted, "auto", "")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	first := newAnswer(response)
	if err := first.read(response.Body, framesBeforeStop); err != nil {
		return err
	}
	aborted.abort()
	<-aborted.ended
	if err := first.read(response.Body, demoTokens); err == nil && first.complete {
		return errors.New("the answer was completed although its daemon had been stopped")
	}
	header := http.Header{}
	header.Set(crlentry.HeaderStream, first.stream)
	header.Set(crlentry.HeaderLastEventID, strconv.Itoa(len(first.texts)))
	rest, err := s.send(ctx, http.MethodGet, "http://"+other.Listen+"/v1/streams", header, nil)
	if err != nil {
		return err
	}
	defer func() { _ = rest.Body.Close() }()
	if err := first.read(rest.Body, demoTokens); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return s.checkComplete(*first)
}

// setKey returns the configuration file with the value of one key of a section replaced.
func setKey(content []byte, section, key, value string) ([]byte, error) {
	file, err := ini.Load(content)
	if err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	file.Section(section).Key(key).SetValue(value)
	var changed bytes.Buffer
	if _, err := file.WriteTo(&changed); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return changed.Bytes(), nil
}
