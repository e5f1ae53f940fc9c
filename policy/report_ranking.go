package policy

// ranking orders customers by report priority, then by position in customerTable.list. A report can hold
// only a few of many customers, so the heap is sorted only as far as needed.
type ranking struct {
	sorted []*customer
	heap   []*customer
}

func (r *ranking) reset() {
	r.sorted = r.sorted[:0]
	r.heap = r.heap[:0]
}

// add adds a customer. heapify must be called before the first call of at.
func (r *ranking) add(c *customer) { r.heap = append(r.heap, c) }

func (r *ranking) isEmpty() bool { return len(r.sorted)+len(r.heap) == 0 }

// ranksBefore reports whether a customer precedes another in the ranking.
func (c *customer) ranksBefore(other *customer) bool {
	if c.reportPriority > other.reportPriority {
		return true
	}
	return c.reportPriority == other.reportPriority && c.listIndex < other.listIndex
}

func (r *ranking) heapify() {
	for i := len(r.heap)/2 - 1; i >= 0; i-- {
		r.siftDown(i)
	}
}

// siftDown restores the heap order below a position.
func (r *ranking) siftDown(i int) {
	h := r.heap
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].ranksBefore(h[child]) {
			child++
		}
		if !h[child].ranksBefore(h[i]) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// at returns the customer at position k, counted from 0, or nil if there are fewer customers.
func (r *ranking) at(k int) *customer {
	for len(r.sorted) <= k {
		last := len(r.heap) - 1
		if last < 0 {
			return nil
		}
		r.sorted = append(r.sorted, r.heap[0])
		r.heap[0] = r.heap[last]
		r.heap = r.heap[:last]
		r.siftDown(0)
	}
	return r.sorted[k]
}
