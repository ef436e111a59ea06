package crlentry

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlqueue"
)

// notReadyRetryAfter is when a caller should come back to a daemon that takes no new work.
const notReadyRetryAfter = 2 * time.Second

// AnyModel is the wanted model of a caller that leaves the choice to the policy.
const AnyModel = "auto"

// ready refuses while the configuration is not proved current.
func (s *Service) ready(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		if !x.snapshot.Fresh(time.Now(), s.config.Limits.Freshness) {
			return refuse(CodeNotReady, "no configuration is proved current").withRetryAfter(notReadyRetryAfter)
		}
		if !x.call.Deadline.IsZero() && !time.Now().Before(x.call.Deadline) {
			return refuse(CodeDeadlineExceeded, "the deadline had passed on arrival")
		}
		return next(ctx, x)
	}
}

// authenticate finds the organisation whose key the caller holds.
func (s *Service) authenticate(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		sum := sha256.Sum256([]byte(x.call.APIKey))
		organisation, ok := x.snapshot.Configuration.Organisation(hex.EncodeToString(sum[:]))
		if x.call.APIKey == "" || !ok {
			return refuse(CodeUnauthenticated, "the key belongs to no organisation")
		}
		x.organisation = organisation
		return next(ctx, x)
	}
}

// classify finds the class of a chat call.
func (s *Service) classify(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		id := x.call.Class
		if id == "" {
			id = slices.Min(slices.Collect(maps.Keys(x.snapshot.Configuration.Classes)))
		}
		class, ok := x.snapshot.Configuration.Classes[id]
		if !ok {
			return refuse(CodeUnknownClass, "class %q is not configured", id)
		}
		if x.call.QualityTarget > 0 {
			class.Target = x.call.QualityTarget
		}
		x.class = class
		return next(ctx, x)
	}
}

// lookUp finds the plain service of a call and asks for a key where it may not be repeated.
func (s *Service) lookUp(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		service, ok := x.snapshot.Configuration.Services[x.call.Service]
		if !ok {
			return refuse(CodeUnknownService, "service %q is not configured", x.call.Service)
		}
		if !x.organisation.Services[service.ID] {
			return refuse(CodeNotAllowed, "the organisation may not use service %q", service.ID)
		}
		if !service.Idempotent && x.call.IdempotencyKey == "" {
			return refuse(CodeIdempotencyKeyRequired, "service %q needs the header Idempotency-Key", service.ID)
		}
		x.service = service
		return next(ctx, x)
	}
}

// queue waits for a place in the organisation's share.
func (s *Service) queue(next handler) handler {
	return func(ctx context.Context, x *exchange) *Refusal {
		leave, err := s.config.Queue.Enter(ctx, crlqueue.Request{
			Organisation: x.organisation.ID, Weight: x.organisation.Weight, Guarantee: x.organisation.Guarantee,
			Patient: x.class.Patient, Idempotent: x.service.ID == "" || x.service.Idempotent, Deadline: x.call.Deadline,
		})
		var shed *crlqueue.Refusal
		if errors.As(err, &shed) {
			return refuse(CodeOverloaded, "%s", shed.Reason).withRetryAfter(shed.RetryAfter)
		}
		if err != nil {
			return refuse(CodeDeadlineExceeded, "given up while queued: %v", err)
		}
		defer leave()
		return next(ctx, x)
	}
}

// candidates returns the versions that the exchange may begin on, ordered by name.
func (x *exchange) candidates() []crlconfig.Version {
	var versions []crlconfig.Version
	for id := range x.organisation.Versions {
		v := x.snapshot.Configuration.Versions[id]
		if x.wants(v) && v.State == crlconfig.VersionLive {
			versions = append(versions, v)
		}
	}
	slices.SortFunc(versions, func(a, b crlconfig.Version) int { return cmp.Compare(a.ID, b.ID) })
	return versions
}

func (x *exchange) wants(v crlconfig.Version) bool {
	w := x.call.Wanted
	return w == "" || w == AnyModel || crlid.Model(w) == v.Model || crlid.Version(w) == v.ID
}
