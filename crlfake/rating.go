package crlfake

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlplatform"
)

// RatingFaults are the switches of Ratings.
type RatingFaults struct {
	Outage bool          `json:"outage"`
	Delay  time.Duration `json:"delay-ns"`
}

// Ratings is a rating service that knows the true quality of versions.
type Ratings struct {
	mu      sync.Mutex // mu guards the fields below.
	quality map[crlid.Version]crlid.Quality
	spread  crlid.Quality
	faults  RatingFaults
}

// defaultRating is the rating of answers of a version whose quality was not set.
const defaultRating crlid.Quality = 0.8

// errRatingOutage is the cause of calls that fail in an outage.
var errRatingOutage = errors.New("rating service is out")

// NewRatings returns a rating service without faults.
func NewRatings() *Ratings { return &Ratings{quality: make(map[crlid.Version]crlid.Quality)} }

// SetQuality sets the true quality of a version.
func (r *Ratings) SetQuality(version crlid.Version, quality crlid.Quality) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quality[version] = quality
}

// SetSpread sets how far the rating of one answer lies from the true quality at most.
func (r *Ratings) SetSpread(spread crlid.Quality) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread = spread
}

// SetFaults replaces the switches.
func (r *Ratings) SetFaults(faults RatingFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
}

// Rate returns the true quality of the version that answered, varied by the spread;
// one request always gets the same rating.
func (r *Ratings) Rate(ctx context.Context, request crlplatform.RatingRequest) (crlid.Quality, error) {
	quality, spread, faults := r.lookup(request.Version)
	select {
	case <-time.After(faults.Delay):
	case <-ctx.Done():
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
	if q, ok := r.quality[version]; ok {
		return q, r.spread, r.faults
	}
	return defaultRating, r.spread, r.faults
}
