package discovery

import "time"

const (
	// maxListLag is how long lists may be older than what is known before they are believed. A discovery that
	// began anew counts its index from 0 and never catches up.
	maxListLag = 30 * time.Second

	// removalRetention is how long a removed server is remembered.
	removalRetention = 5 * time.Minute
)

// ListHistory remembers which servers are known to drain or to be removed. When discovery moves, the lists of its
// new address may be older than what is known, by their index; they must not bring such a server back, nor one that
// the newest list leaves out. All else in an older list counts: servers that drain, that are not listed any more or
// that have started since, and all new ones if discovery has begun anew. A server that has started again since is
// another one. ListHistory is not safe for concurrent use.
type ListHistory struct {
	index       int64     // of the newest list so far
	newestAt    time.Time // when that came
	oldestIndex int64     // of the oldest list that is known to have the same numbering
	cachedIndex int64     // of the list of an earlier run; 0 once a list has come
	behindSince time.Time // when the first of the latest lists came that were all older than index; zero: the last was not
	beganAnew   bool      // one of those has a lower index than oldestIndex, so that they are numbered anew
	listed      map[string]serverStart
	retired     map[serverStart]retirement
	suppressed  map[string]Endpoint // by name; endpoints of older lists that were not let pass as they are
}

// serverStart identifies a server from one start to the next.
type serverStart struct {
	name            string
	startTimeUnixMS int64
}

// retirement is what is known of a server that gets no more work.
type retirement struct {
	status string
	at     time.Time
}

// NewListHistory returns a history without lists.
func NewListHistory() *ListHistory {
	return &ListHistory{
		listed:     map[string]serverStart{},
		retired:    map[serverStart]retirement{},
		suppressed: map[string]Endpoint{},
	}
}

// RecordCached records the list of an earlier run, before the first list comes. What the first list leaves out of it
// is removed, unless the first list is older.
func (h *ListHistory) RecordCached(l List) {
	h.cachedIndex = l.Index
	for _, endpoint := range l.Endpoints {
		if endpoint.Status != statusRemoved {
			h.listed[endpoint.Name] = endpoint.start()
		}
	}
}

// Admit records a list and returns what is to be applied of it.
func (h *ListHistory) Admit(l List, now time.Time) List {
	h.forgetRemoved(now)
	if h.newestAt.IsZero() {
		h.useCached(l)
	}
	if l.Index < h.index {
		if h.behindSince.IsZero() {
			h.behindSince = now
		}
		h.beganAnew = h.beganAnew || l.Index < h.oldestIndex
		if now.Sub(h.behindSince) < maxListLag {
			return h.admitOlder(l, now)
		}
		l = h.withSuppressed(l)
		h.oldestIndex = l.Index
	}
	h.index = l.Index
	h.newestAt = now
	h.behindSince = time.Time{}
	h.beganAnew = false
	clear(h.suppressed)
	h.recordNewest(l, now)
	return l
}

// useCached compares the list of an earlier run with the first list that comes. If that is older, nothing follows from
// what it leaves out.
func (h *ListHistory) useCached(first List) {
	h.oldestIndex = first.Index
	switch {
	case first.Index < h.cachedIndex:
		clear(h.listed)
	case h.cachedIndex > 0:
		h.oldestIndex = h.cachedIndex
	}
	h.cachedIndex = 0
}

// wasRemoved reports whether an endpoint of an older list must have been removed since, because the newest list, with
// the same numbering, leaves it out. One that has started after that list came is new. After removalRetention this is
// forgotten.
func (h *ListHistory) wasRemoved(endpoint Endpoint, now time.Time) bool {
	_, isListed := h.listed[endpoint.Name]
	isRemembered := now.Sub(h.newestAt) <= removalRetention
	return !isListed && !h.beganAnew && isRemembered && endpoint.StartTimeUnixMS <= h.newestAt.UnixMilli()
}

// admitOlder returns an older list without what would bring back a retired server.
func (h *ListHistory) admitOlder(l List, now time.Time) List {
	if l.Snapshot {
		clear(h.suppressed)
	}
	admitted := List{Index: l.Index, Snapshot: l.Snapshot}
	for _, endpoint := range l.Endpoints {
		start := endpoint.start()
		known, isRetired := h.retired[start]
		delete(h.suppressed, endpoint.Name)
		switch {
		case isRetired && endpoint.Status == statusReady:
			h.suppressed[endpoint.Name] = endpoint
			endpoint.Status = known.status
		case endpoint.Status == statusReady && h.wasRemoved(endpoint, now):
			h.suppressed[endpoint.Name] = endpoint
			endpoint.Status = statusRemoved
		case endpoint.Status != statusReady:
			h.retired[start] = retirement{endpoint.Status, now}
		}
		if endpoint.Status == statusRemoved && l.Snapshot {
			continue // a snapshot has no removed servers
		}
		admitted.Endpoints = append(admitted.Endpoints, endpoint)
	}
	return admitted
}

// withSuppressed adds to a list what was suppressed of earlier ones and is not in it.
func (h *ListHistory) withSuppressed(l List) List {
	if l.Snapshot {
		return l
	}
	inList := map[string]bool{}
	for _, endpoint := range l.Endpoints {
		inList[endpoint.Name] = true
	}
	for name, endpoint := range h.suppressed {
		if !inList[name] {
			l.Endpoints = append(l.Endpoints, endpoint)
		}
	}
	return l
}

// recordNewest records which servers a list that is not older retires.
func (h *ListHistory) recordNewest(l List, now time.Time) {
	before := h.listed
	if l.Snapshot {
		h.listed = map[string]serverStart{}
	}
	for _, endpoint := range l.Endpoints {
		start := endpoint.start()
		if endpoint.Status == statusReady {
			delete(h.retired, start)
		} else {
			h.retired[start] = retirement{endpoint.Status, now}
		}
		if endpoint.Status == statusRemoved {
			delete(h.listed, endpoint.Name)
		} else {
			h.listed[endpoint.Name] = start
		}
	}
	if !l.Snapshot {
		return
	}
	for name, start := range before {
		if _, stillListed := h.listed[name]; !stillListed {
			h.retired[start] = retirement{statusRemoved, now}
		}
	}
}

// forgetRemoved forgets the servers that were removed long ago.
func (h *ListHistory) forgetRemoved(now time.Time) {
	for start, known := range h.retired {
		if known.status == statusRemoved && now.Sub(known.at) > removalRetention {
			delete(h.retired, start)
		}
	}
}

func (e *Endpoint) start() serverStart { return serverStart{e.Name, e.StartTimeUnixMS} }
