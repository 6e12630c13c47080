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
	inflight.End
}

// relayed ends a webhook of which others than the platform are told, and whether it is one.
func (d *Decider) relayed(w *inflight.Webhook, how inflight.How, retryIn api.Micros) bool {
	if w.Ends == nil || d.held[w.ID] != w {
		return false
	}
	end := inflight.End{RequestID: w.RequestID, How: how, RetryIn: retryIn}
	if e := d.journal.Entry(w.ID); e != nil {
		end.Attempts, end.MayRun = e.Attempts, e.MayRun != api.Never
	}
	d.journal.End(w.ID, end.Bytes())
	d.drop(w)
	d.ends = append(d.ends, func() { w.Ends(w.ID, end) })
	return true
}

// endedBefore guards against the platform being told of an end that is another member's to hear.
func (d *Decider) endedBefore(e *wal.Entry) bool {
	end, is := inflight.EndFrom(e.Notice)
	if is {
		if d.told == nil {
			d.told = map[inflight.RequestID]ended{}
		}
		d.told[end.RequestID] = ended{e.ID, end}
	}
	return is
}

// named has a notice of an announcement name the announcement and the subscriber.
func (d *Decider) named(w *inflight.Webhook, notice []byte) []byte {
	of, to, is := w.RequestID.Subscriber()
	if d.fleet == nil || !is {
		return notice
	}
	with := strconv.Quote(string(of)) + `,"dest":` + strconv.FormatUint(uint64(to), 10)
	return bytes.Replace(notice, []byte(strconv.Quote(string(w.RequestID))), []byte(with), 1)
}
