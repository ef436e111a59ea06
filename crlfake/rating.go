package crlfake

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlclock"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// RatingFaults selects the faults that Ratings injects; the zero value selects none.
type RatingFaults struct {
	Outage bool          `json:"outage"`   // fails every call
	Delay  time.Duration `json:"delay-ns"` // time before each reply
}

// Ratings is a fake rating service that knows the true quality of each version.
type Ratings struct {
	mu      sync.Mutex // guards the fields below
	quality map[crlid.Version]crlid.Quality
	spread  crlid.Quality
	faults  RatingFaults
}

// defaultRating is the true quality of versions for which SetQuality wasn't called.
const defaultRating crlid.Quality = 0.8

// errRatingOutage is returned by Rate under the fault Outage.
var errRatingOutage = errors.New("injected fault: the rating service is unreachable")

// NewRatings returns a rating service without faults.
func NewRatings() *Ratings { return &Ratings{quality: make(map[crlid.Version]crlid.Quality)} }

// SetQuality sets the true quality of a version.
func (r *Ratings) SetQuality(version crlid.Version, quality crlid.Quality) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quality[version] = quality
}

// SetSpread sets the largest difference between the rating of an answer and the true quality of its version, for all
// versions.
func (r *Ratings) SetSpread(spread crlid.Quality) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread = spread
}

// SetFaults replaces the injected faults.
func (r *Ratings) SetFaults(faults RatingFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Rate returns the true quality of the version that answered, plus a variation of at most the spread, limited to the range
// from 0 to 1. The variation is a hash of the request identifier, so that a request always gets the same rating.
func (r *Ratings) Rate(ctx context.Context, request crlplatform.RatingRequest) (crlid.Quality, error) {
	quality, spread, faults := r.lookup(request.Version)
	if crlclock.Sleep(ctx, faults.Delay); ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if faults.Outage {
		return 0, errRatingOutage
	}
	variation := crlid.Quality(xxhash.Sum64String(string(request.Request))) / math.MaxUint64
	return min(max(quality+spread*(2*variation-1), 0), 1), nil
}

func (r *Ratings) lookup(version crlid.Version) (quality, spread crlid.Quality, faults RatingFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.quality[version]; ok {
		return known, r.spread, r.faults
	}
	return defaultRating, r.spread, r.faults
}
