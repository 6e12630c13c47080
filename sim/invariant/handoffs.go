package invariant

// handoffs tracks the webhooks that dispatchers hand off to one another. Its maps are nil in runs without handoffs.
type handoffs struct {
	receivers map[webhookKey]int32 // who acknowledged each
	finished  map[webhookKey]bool  // there
}

func (h *handoffs) initialize() {
	if h.receivers == nil {
		h.receivers, h.finished = map[webhookKey]int32{}, map[webhookKey]bool{}
	}
}

func (h *handoffs) recordFinished(k webhookKey) {
	if h.finished != nil {
		h.finished[k] = true
	}
}

// recordHandoff records that a webhook was acknowledged, and reports whether the receiver has or had it, or handed it off
// to one that does. A cycle of handoffs means that all have released it.
func (h *handoffs) recordHandoff(o *delivery, from webhookKey, to int32) bool {
	h.initialize()
	h.receivers[from] = to
	for at, ok := to, true; ok && at != from.dispatcher; at, ok = h.receivers[webhookKey{at, from.webhook}] {
		if k := (webhookKey{at, from.webhook}); o.owned[k] != nil || h.finished[k] {
			return true
		}
	}
	return false
}
