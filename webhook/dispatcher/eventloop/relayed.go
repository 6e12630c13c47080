package eventloop

import (
	"bytes"
	"strconv"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// ended is what the journal of an earlier life says of a webhook whose end another member is owed.
type ended struct {
	id api.WebhookID
	inflight.Result
}

// relayed ends a webhook of which others than the platform are told, and whether it is one.
func (d *Loop) relayed(w *inflight.Webhook, how inflight.Status, retryIn api.Micros) bool {
	if w.OnFinished == nil || d.held[w.ID] != w {
		return false
	}
	end := inflight.Result{RequestID: w.RequestID, Status: how, RetryAfter: retryIn}
	if e := d.journal.Pending(w.ID); e != nil {
		end.Attempts, end.MayHaveRun = e.Attempts, e.MayHaveRunAt != api.Never
	}
	d.journal.Finish(w.ID, end.Encode())
	d.drop(w)
	d.ends = append(d.ends, func() { w.OnFinished(w.ID, end) })
	return true
}

// endedBefore guards against the platform being told of an end that is another member's to hear.
func (d *Loop) endedBefore(e *wal.Entry) bool {
	end, is := inflight.DecodeResult(e.Callback)
	if is {
		if d.told == nil {
			d.told = map[inflight.RequestID]ended{}
		}
		d.told[end.RequestID] = ended{e.ID, end}
	}
	return is
}

// named has a notice of an announcement name the announcement and the subscriber.
func (d *Loop) named(w *inflight.Webhook, notice []byte) []byte {
	of, to, is := w.RequestID.Subscriber()
	if d.fleet == nil || !is {
		return notice
	}
	with := strconv.Quote(string(of)) + `,"dest":` + strconv.FormatUint(uint64(to), 10)
	return bytes.Replace(notice, []byte(strconv.Quote(string(w.RequestID))), []byte(with), 1)
}
