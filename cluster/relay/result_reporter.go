package relay

import (
	"log/slog"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// maxResultsPerMessage limits the number of results in a ResultsMessage.
const maxResultsPerMessage = 256

// notify wakes the goroutine that reports results to an origin, and starts it at the first call. Each origin has its own
// goroutine, so that an unreachable one does not block the others. The caller holds the lock.
func (r *Receiver) notify(origin cluster.MemberID) {
	notifier := r.notifiers[origin]
	if notifier == nil {
		notifier = make(chan struct{}, 1)
		r.notifiers[origin] = notifier
		r.running.Add(1)
		go r.reportResults(origin, notifier)
	}
	select {
	case notifier <- struct{}{}:
	default:
	}
}

// reportResults reports an origin's results until the receiver is closed. notifier signals new results.
func (r *Receiver) reportResults(origin cluster.MemberID, notifier chan struct{}) {
	defer r.running.Done()
	for {
		select {
		case <-notifier:
		case <-r.closed:
			return
		}
		if !r.reportUntilAcknowledged(origin) {
			return
		}
	}
}

// reportUntilAcknowledged sends results until the origin has acknowledged all of them, with an exponential backoff after
// failures. It returns false if the receiver is closed.
func (r *Receiver) reportUntilAcknowledged(origin cluster.MemberID) bool {
	for backoff := r.timing.PollInterval; ; {
		hasMore, acknowledged := r.sendResults(origin)
		if !hasMore {
			return true
		}
		if acknowledged {
			if backoff > r.timing.PollInterval {
				slog.Info("relay: results acknowledged again", "origin", origin)
			}
			backoff = r.timing.PollInterval
			continue
		}
		if backoff == r.timing.PollInterval {
			slog.Warn("relay: results not acknowledged, retrying", "origin", origin)
		}
		select {
		case <-time.After(backoff):
		case <-r.closed:
			return false
		}
		backoff = min(2*backoff, r.timing.UnreachableTimeout)
	}
}

// sendResults sends one ResultsMessage. hasMore is false if there was nothing to send; acknowledged says whether the
// origin has recorded at least one result.
func (r *Receiver) sendResults(origin cluster.MemberID) (hasMore, acknowledged bool) {
	r.mu.Lock()
	message := ResultsMessage{Results: r.state.UnacknowledgedResults(origin, maxResultsPerMessage)}
	message.Ack = r.state.Ack(r.store.Capacity(), r.now())
	r.mu.Unlock()
	if len(message.Results) == 0 {
		return false, false
	}
	message.DestinationStates = r.store.DestinationStates(destinationsOf(message.Results))
	response, err := r.messenger.Call(origin, ResultsPath, transport.Encode(message), r.timing.RequestTimeout)
	var recorded []stream.Delivery
	if err == nil {
		err = response.Decode(&recorded)
	}
	if err != nil || len(recorded) == 0 {
		slog.Debug("relay: results not acknowledged", "origin", origin, "count", len(message.Results), "error", err)
		return true, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The store forgets the results first. If a write of it is lost, the results are reported again after a restart, which
	// does no harm: the origin ignores them.
	r.store.ForgetResults(recorded)
	r.state.AcknowledgeResults(recorded)
	return true, true
}

func destinationsOf(results []stream.Result) (destinations []api.DestinationID) {
	for _, result := range results {
		destinations = append(destinations, result.Delivery.Destination)
	}
	return destinations
}
