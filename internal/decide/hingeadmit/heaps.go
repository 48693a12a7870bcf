package hingeadmit

// itemHeap is a heap of items by due time or by expiry.
type itemHeap struct {
	list []*item
	by   order
}

type order uint8

const (
	byDue order = iota
	byExpiry
)

func (h *itemHeap) Len() int { return len(h.list) }

func (h *itemHeap) Less(i, j int) bool {
	if h.by == byDue {
		return h.list[i].due.Before(h.list[j].due)
	}
	return h.list[i].expiry.Before(h.list[j].expiry)
}

func (h *itemHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.setIndex(i)
	h.setIndex(j)
}

func (h *itemHeap) setIndex(i int) {
	if h.by == byDue {
		h.list[i].flowIndex = i
	} else {
		h.list[i].expiryIndex = i
	}
}

// Push is for container/heap.
func (h *itemHeap) Push(x any) {
	h.list = append(h.list, x.(*item))
	h.setIndex(len(h.list) - 1)
}

// Pop is for container/heap.
func (h *itemHeap) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return x
}

type flowHeap struct {
	list []*flow
	less func(a, b *flow) bool
}

func (h *flowHeap) Len() int           { return len(h.list) }
func (h *flowHeap) Less(i, j int) bool { return h.less(h.list[i], h.list[j]) }

func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push is for container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.list)
	h.list = append(h.list, f)
}

// Pop is for container/heap.
func (h *flowHeap) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return x
}
