package invariant

// handoffs follows webhooks that dispatchers with homes pass to one another; it is nil while none does.
type handoffs struct {
	receivers map[webhookKey]int32 // to whom
	finished  map[webhookKey]bool  // ended there
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

// recordHandoff tells whether a webhook is where it is said to have gone, or where that one passed it on to. Two that
// name each other have both let it go.
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
