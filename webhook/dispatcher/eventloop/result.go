package eventloop

import (
	"bytes"
	"strconv"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// recoveredResult is what the journal of an earlier life says of a webhook whose end another member is owed.
type recoveredResult struct {
	id api.WebhookID
	inflight.Result
}

// notifyResult ends a webhook of which others than the platform are told, and whether it is one.
func (d *Loop) notifyResult(w *inflight.Webhook, how inflight.Status, retryIn api.Micros) bool {
	if w.OnFinished == nil || d.webhooks[w.ID] != w {
		return false
	}
	end := inflight.Result{RequestID: w.RequestID, Status: how, RetryAfter: retryIn}
	if e := d.log.Pending(w.ID); e != nil {
		end.Attempts, end.MayHaveRun = e.Attempts, e.MayHaveRunAt != api.Never
	}
	d.log.Finish(w.ID, end.Encode())
	d.remove(w)
	d.afterCommit = append(d.afterCommit, func() { w.OnFinished(w.ID, end) })
	return true
}

// isRecoveredResult guards against the platform being told of an end that is another member's to hear.
func (d *Loop) isRecoveredResult(e *wal.Entry) bool {
	end, is := inflight.DecodeResult(e.Callback)
	if is {
		if d.recoveredResults == nil {
			d.recoveredResults = map[inflight.RequestID]recoveredResult{}
		}
		d.recoveredResults[end.RequestID] = recoveredResult{e.ID, end}
	}
	return is
}

// nameSubscriber has a notice of an announcement name the announcement and the subscriber.
func (d *Loop) nameSubscriber(w *inflight.Webhook, notice []byte) []byte {
	of, to, is := w.RequestID.Subscriber()
	if d.cluster == nil || !is {
		return notice
	}
	with := strconv.Quote(string(of)) + `,"dest":` + strconv.FormatUint(uint64(to), 10)
	return bytes.Replace(notice, []byte(strconv.Quote(string(w.RequestID))), []byte(with), 1)
}
