package crlpartition

// Interval holds the positions that requests of one size prefer, all of them in the zero Interval.
type Interval struct {
	size       float64              // in seconds
	neighbours float64              // see Fleet
	from, to   float64              // preferred positions, from 0 to 1
	boundaries [BucketCount]float64 // upper end of each bucket's positions
	sizes      [BucketCount]float64 // mean size in each bucket in seconds, 0 without requests
}

// Place is the place of a server among those of its service and failure domain.
type Place struct {
	Rank    int // number of servers before it in the order on which all daemons agree
	Servers int // number of servers, 0 if unknown

	begin, end float64 // set by NewPlace, else 0
}

// NewPlace returns a place whose positions are computed once, for servers that many intervals are compared with.
func NewPlace(rank, servers int) Place {
	p := Place{Rank: rank, Servers: servers}
	p.begin, p.end = p.from(), p.to()
	return p
}

// from returns the position at which the server's part begins. All servers have equal parts.
func (p Place) from() float64 {
	if p.end > 0 {
		return p.begin
	}
	return float64(p.Rank) / float64(p.Servers)
}

// to returns the position at which the server's part ends.
func (p Place) to() float64 {
	if p.end > 0 {
		return p.end
	}
	return float64(p.Rank+1) / float64(p.Servers)
}

// Width returns the share of the servers that the requests prefer, above 0 and at most 1.
func (i *Interval) Width() float64 {
	if i.from == 0 && i.to == 0 {
		return 1
	}
	return max(i.to-i.from, minWidth)
}

// IsAll reports whether the requests prefer all servers, whatever their places.
func (i *Interval) IsAll() bool { return i.from == 0 && (i.to == 0 || i.to >= 1) }

// Contains reports whether requests of the interval's size prefer the server at a place. A part of the server's positions suffices.
func (i *Interval) Contains(place Place) bool {
	if place.Servers < minServerCount || i.from == 0 && i.to == 0 {
		return true
	}
	// An interval narrower than a server's part belongs to the server that its beginning falls on.
	return place.to() > i.from && place.from() < max(i.to, i.from) || place.from() <= i.from && i.from < place.to() ||
		i.from >= 1 && place.Rank == place.Servers-1
}

// Penalty returns the delay in seconds that is expected at the server at a place beyond that in the interval: what the request
// would add for the smaller requests there, or what is left to read of a larger prompt when the request arrives.
func (i *Interval) Penalty(place Place) float64 {
	if i.Contains(place) {
		return 0
	}
	usual := i.usualSize((place.from() + place.to()) / 2)
	if usual < i.size {
		return i.neighbours * (i.size - usual)
	}
	return residualShare * (usual - i.size)
}

// usualSize returns the mean size in seconds of the requests that prefer a position.
func (i *Interval) usualSize(position float64) float64 {
	for b, boundary := range i.boundaries {
		if position <= boundary && i.sizes[b] > 0 {
			return i.sizes[b]
		}
	}
	return i.size
}
