package policy

// ranking gives customers by urgency, then by place in the ring. A report has
// room for few of many: what is not asked for is not sorted.
type ranking struct {
	top  []*customer // in order
	rest []*customer // a heap
}

func (r *ranking) reset() { r.top, r.rest = r.top[:0], r.rest[:0] }

func rankedBefore(a, b *customer) bool {
	return a.reportPriority > b.reportPriority || a.reportPriority == b.reportPriority &&
		a.ringIndex < b.ringIndex
}

func (r *ranking) heapify() {
	for i := len(r.rest)/2 - 1; i >= 0; i-- {
		r.down(i)
	}
}

func (r *ranking) down(i int) {
	for h := r.rest; ; {
		k := 2*i + 1
		if k >= len(h) {
			return
		}
		if k+1 < len(h) && rankedBefore(h[k+1], h[k]) {
			k++
		}
		if !rankedBefore(h[k], h[i]) {
			return
		}
		h[i], h[k] = h[k], h[i]
		i = k
	}
}

// at returns the k-th, or nil where there are fewer.
func (r *ranking) at(k int) *customer {
	for len(r.top) <= k {
		n := len(r.rest) - 1
		if n < 0 {
			return nil
		}
		r.top = append(r.top, r.rest[0])
		r.rest[0] = r.rest[n]
		r.rest = r.rest[:n]
		r.down(0)
	}
	return r.top[k]
}
