package invariant

// fromHomes follows webhooks that dispatchers with homes pass to one another; it is nil while none does.
type fromHomes struct {
	passed map[stay]int32 // to whom
	past   map[stay]bool  // ended there
}

func (h *fromHomes) begin() {
	if h.passed == nil {
		h.passed, h.past = map[stay]int32{}, map[stay]bool{}
	}
}

func (h *fromHomes) ended(k stay) {
	if h.past != nil {
		h.past[k] = true
	}
}

// has tells whether a webhook is where it is said to have gone, or where that one passed it on to. Two that
// name each other have both let it go.
func (h *fromHomes) has(o *lost, from stay, to int32) bool {
	h.begin()
	h.passed[from] = to
	for at, ok := to, true; ok && at != from.d; at, ok = h.passed[stay{at, from.id}] {
		if k := (stay{at, from.id}); o.open[k] != nil || h.past[k] {
			return true
		}
	}
	return false
}
