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

// domainOut takes a failure domain out under traffic, checks where the work went and brings the domain back.
func (t *scenario) takeDomainOut(ctx context.Context) error {
	section := "domain " + string(demoDomain)
	out, err := setKey(t.content, section, "state", "out")
	if err != nil {
		return err
	}
	in := t.content
	if err := t.apply(ctx, out); err != nil {
		return err
	}
	if err := t.sendChatsUntil(ctx, time.Now().Add(domainOutTraffic)); err != nil {
		return err
	}
	if err := t.checkDomainOut(); err != nil {
		return err
	}
	return t.apply(ctx, in)
}

// sendUntil sends chats to every daemon until the end.
func (t *scenario) sendChatsUntil(ctx context.Context, end time.Time) error {
	failures := make([]error, len(t.daemons))
	answers := make([][]answer, len(t.daemons))
	var senders sync.WaitGroup
	for i, m := range t.daemons {
		senders.Go(func() {
			for time.Now().Before(end) && failures[i] == nil {
				var a answer
				a, failures[i] = t.chat(ctx, m, "auto", "")
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
			if err := t.checkComplete(a); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDomain checks the stand-ins' record: work in the domain before it was taken out, none outWithin after that.
func (t *scenario) checkDomainOut() error {
	before, elsewhere := 0, 0
	limit := t.acceptedAt.Add(domainOutLimit)
	for _, r := range t.site.Platform.History.Runs() {
		inDomain := t.domainOf[r.Server] == demoDomain
		switch {
		case inDomain && r.Time.After(limit):
			return fmt.Errorf("%s began request %s %s after its domain was taken out", r.Server, r.Request, r.Time.Sub(t.acceptedAt))
		case inDomain && r.Time.Before(t.acceptedAt):
			before++
		case r.Time.After(limit):
			elsewhere++
		}
	}
	if before == 0 || elsewhere == 0 {
		return fmt.Errorf("nothing to compare: %d requests in the domain before, %d elsewhere after", before, elsewhere)
	}
	return nil
}

// resumed stops a daemon in the middle of an answer and takes the rest from another.
func (t *scenario) resumeAnswer(ctx context.Context) error {
	stopped, other := t.daemons[0], t.daemons[1]
	response, err := t.sendChat(ctx, stopped, "auto", "")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	first := newAnswer(response)
	if err := first.read(response.Body, framesBeforeStop); err != nil {
		return err
	}
	stopped.abort()
	<-stopped.ended
	if err := first.read(response.Body, demoTokens); err == nil && first.complete {
		return errors.New("the answer ended although its daemon was stopped")
	}
	header := http.Header{}
	header.Set(crlentry.HeaderStream, first.stream)
	header.Set(crlentry.HeaderLastEventID, strconv.Itoa(len(first.texts)))
	rest, err := t.send(ctx, http.MethodGet, "http://"+other.Listen+"/v1/streams", header, nil)
	if err != nil {
		return err
	}
	defer func() { _ = rest.Body.Close() }()
	if err := first.read(rest.Body, demoTokens); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return t.checkComplete(*first)
}

// withKey returns a configuration with one key of a section set.
func setKey(content []byte, section, key, value string) ([]byte, error) {
	file, err := ini.Load(content)
	if err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	file.Section(section).Key(key).SetValue(value)
	var changed bytes.Buffer
	if _, err := file.WriteTo(&changed); err != nil {
		return nil, fmt.Errorf("write configuration: %w", err)
	}
	return changed.Bytes(), nil
}
