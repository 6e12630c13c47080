package site

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// submit accepts announcements. It turns an announcement into one webhook for each subscriber of its list, each with
// its own result. Webhooks that are not announcements go to the next handler.
func (s *Sites) submit(w *inflight.Webhook, submitHere func() (inflight.Answer, api.Micros)) (answer inflight.Answer,
	retryAfter api.Micros) {
	if w.List == "" {
		return s.submitNext(w, submitHere)
	}
	var webhooks []*inflight.Webhook
	for _, subscriber := range s.routes.Load().lists[w.List] {
		one := *w
		one.RequestID = inflight.ForSubscriber(w.RequestID, subscriber)
		one.Destination = subscriber
		one.List = ""
		webhooks = append(webhooks, &one)
	}
	answer = s.loop.SubmitBroadcast(webhooks)
	switch answer {
	case inflight.Accepted:
		s.Announcements.Add(1)
		s.options.NotifyHandoff()
	case inflight.Rejected:
		retryAfter = inflight.AnswerTimeout
	}
	return answer, retryAfter
}
