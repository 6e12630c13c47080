package httpserver

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/placement"
)

func TestAnswerGoesBackUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	r := newRig(t, func(p *peer) {
		for request := p.request(); request != nil; request = p.request() {
			got <- request
			p.say(okHead + "X-Own: 1\r\nX-Own: 2\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nbody")
		}
	})
	request := r.request("/fetch/%2e%2e//a?x=%zz&&", "hello")
	request.URL.Opaque = "/fetch/%2e%2e//a"
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
	request.Header.Set("X-Token-Count", "1460,80")
	request.Header.Set("X-Model", "m")
	request.Header.Set("Te", "trailers")
	a := r.do(request)
	assert.Equal(t, http.StatusOK, a.status)
	assert.Equal(t, "body", a.body)
	assert.Equal(t, "s1", a.header.Get("X-Postmark"))
	assert.Equal(t, "a1", a.header.Get("X-Attempt-Id"))
	assert.Equal(t, []string{"1", "2"}, a.header["X-Own"])
	assert.Equal(t, "timeout=15", a.header.Get("Keep-Alive"), "that of this connection")
	assert.NotContains(t, a.header, "Content-Type")
	assert.NotContains(t, a.header, "Date")

	sent := <-got
	assert.Equal(t, "/fetch/%2e%2e//a?x=%zz&&", sent.RequestURI)
	assert.Equal(t, "shop.example", sent.Host)
	assert.Equal(t, "i-a", sent.Header.Get("X-Deliver-To"))
	assert.Equal(t, "5c1e07a2:800,91bd3f06:410", sent.Header.Get("X-Prompt-Prefix"))
	assert.Empty(t, sent.Header.Get("Te"))
	assert.Empty(t, sent.Header.Get("Priority"), "only language models know it")
	body, err := io.ReadAll(sent.Body)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(body))

	placed := r.placer.requests[0]
	assert.Equal(t, "m", placed.Model)
	assert.Equal(t, 1460, placed.PromptTokens)
	assert.Equal(t, 80, placed.MaxOutputTokens)
	assert.Equal(t, []placement.PrefixBlock{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}}, placed.Blocks)
	assert.Equal(t, []attempt.Outcome{attempt.Succeeded}, r.placer.ended())
}

func TestBodyInChunksArrivesWhole(t *testing.T) {
	got := make(chan string, 1)
	r := newRig(t, func(p *peer) {
		request := p.request()
		body, _ := io.ReadAll(request.Body)
		got <- string(body)
		p.say(okAnswer)
	})
	request := r.request("/once/", "")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 70000)))
	request.ContentLength = -1
	assert.Equal(t, "body", r.do(request).body)
	assert.Len(t, <-got, 70000)
}

// TestWhatFollowsAnAttempt: the first endpoint fails in each way in turn, the second one answers.
func TestWhatFollowsAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      func(*peer)
		repeatable int
		once       int
		outcome    attempt.Outcome
	}{
		{"full", says(fullAnswer), 200, 200, attempt.Rejected},
		{"other incarnation", says(otherOne), 200, 200, attempt.Misdirected},
		{"own error", says(errAnswer), 200, 500, attempt.Failed},
		{"silent close", breaks(""), 200, 502, attempt.Broken},
		{"reset", func(p *peer) { p.request(); p.reset() }, 200, 502, attempt.Broken},
		{"half head", breaks(okHead[:20]), 200, 502, attempt.Broken},
		{"half body", breaks(okAnswer[:len(okAnswer)-1]), 200, 502, attempt.Broken},
		{"garbage", breaks("garbage\r\n\r\n"), 200, 502, attempt.Broken},
		{"encoded", breaks(okHead + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"), 200, 502, attempt.Broken},
		{"unmarked 503", says(strings.Replace(errAnswer, "500 Oops", "503 Oops", 1)), 200, 502, attempt.Failed},
		{"unmarked 429", says(strings.Replace(errAnswer, "500 Oops", "429 Oops", 1)), 200, 502, attempt.Failed},
	} {
		for path, want := range map[string]int{"/fetch/x": c.repeatable, "/once/x": c.once} {
			t.Run(c.name+path, func(t *testing.T) {
				r := newRig(t, c.first, says(okAnswer))
				a := r.do(r.request(path, "q"))
				assert.Equal(t, want, a.status)
				assert.True(t, a.whole)
				assert.Equal(t, c.outcome, r.placer.ended()[0])
				if want == 200 {
					assert.Equal(t, "body", a.body)
					assert.Len(t, r.placer.ended(), 2)
				} else {
					assert.Len(t, r.placer.ended(), 1)
					assert.Empty(t, a.header.Get("Retry-After"))
				}
			})
		}
	}
}

func TestOwnErrorOfTheLastEndpointGoesBack(t *testing.T) {
	r := newRig(t, says(errAnswer), says(errAnswer))
	a := r.do(r.request("/fetch/x", ""))
	assert.Equal(t, 500, a.status)
	assert.Equal(t, "err", a.body)
	assert.Equal(t, "1", a.header.Get("X-Own"))
	assert.Len(t, r.placer.ended(), 2)
}

func TestRefusedByAll(t *testing.T) {
	for _, script := range []func(*peer){says(fullAnswer), says(otherOne)} {
		r := newRig(t, script, script)
		request := r.request("/once/x", "")
		request.Header.Set("X-Time-Left", "150")
		a := r.do(request)
		assert.Equal(t, 503, a.status)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, 0.)
		assert.LessOrEqual(t, after, 0.05)
	}
}

func TestNoEndpoint(t *testing.T) {
	r := newRig(t)
	a := r.do(r.request("/once/x", ""))
	assert.Equal(t, 503, a.status)
	assert.Equal(t, "0.100", a.header.Get("Retry-After"))
}

func TestWaitForAPlace(t *testing.T) {
	r := newRig(t, says(okAnswer))
	r.placer.verdicts = []placement.Decision{{Kind: placement.Wait, Delay: time.Millisecond}, {Kind: placement.Wait}}
	assert.Equal(t, 200, r.do(r.request("/once/x", "")).status)
	assert.Len(t, r.placer.requests, 3)
}

// TestDeadlines: a request ends with the client's time or the operator's, whichever is first.
func TestDeadlines(t *testing.T) {
	silent := func(p *peer) { p.awaitEnd() }
	r := newRig(t, silent)
	request := r.request("/once/x", "")
	request.Header.Set("X-Time-Left", "30")
	assert.Equal(t, 504, r.do(request).status)
	assert.Equal(t, 504, r.do(r.request("/short/x", "")).status)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.TimedOut}, r.placer.ended())

	request = r.request("/once/x", "")
	request.Header.Set("X-Time-Left", "0")
	a := r.do(request)
	assert.Equal(t, 503, a.status, "nothing was tried")
	assert.Len(t, r.placer.ended(), 2)
}

func TestLongAnswerIsPassedAsItComes(t *testing.T) {
	long := strings.Repeat("0123456789", 30000)
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, cut := range []bool{false, true} {
			t.Run(framing+strconv.FormatBool(cut), func(t *testing.T) {
				r := newRig(t, func(p *peer) {
					p.request()
					text := map[string]string{
						"length":  "Content-Length: " + strconv.Itoa(len(long)) + "\r\n\r\n" + long,
						"chunked": "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(long)), 16) + "\r\n" + long + "\r\n0\r\n\r\n",
						"none":    "\r\n" + long,
					}[framing]
					if cut {
						text = text[:len(text)-10]
					}
					p.say(okHead + text)
					if cut && framing == "none" { // a clean close would be this answer's end
						p.reset()
					}
				}, says(okAnswer))
				a := r.do(r.request("/fetch/x", ""))
				if a.status == 0 && cut && framing == "none" {
					return // the reset came before the head was passed on
				}
				if cut && framing == "none" && a.body == "body" {
					return // or it came so early that the other endpoint could be asked
				}
				assert.Equal(t, 200, a.status)
				assert.Equal(t, !cut, a.whole)
				if !cut {
					assert.Equal(t, long, a.body)
				}
			})
		}
	}
}

func TestNoBodyStatuses(t *testing.T) {
	r := newRig(t, says("HTTP/1.1 204 None\r\nX-Attempt-Id: a1\r\nX-Postmark: s1\r\n\r\n"))
	a := r.do(r.request("/fetch/x", ""))
	assert.Equal(t, 204, a.status)
	assert.True(t, a.whole)

	r = newRig(t, says(okHead+"Content-Length: 4\r\n\r\n"))
	request := r.request("/fetch/x", "")
	request.Method, request.Body, request.ContentLength = http.MethodHead, nil, 0
	a = r.do(request)
	assert.Equal(t, 200, a.status)
	assert.Equal(t, "4", a.header.Get("Content-Length"))
}

func TestClientLeaves(t *testing.T) {
	for name, said := range map[string]string{"/once/x": "", "/chat/x": streamHead + chunk("id: 1\ndata: x\n\n")} {
		t.Run(name, func(t *testing.T) {
			reached, gone := make(chan struct{}), make(chan struct{})
			r := newRig(t, func(p *peer) {
				p.request()
				p.say(said)
				close(reached)
				p.awaitEnd()
				close(gone)
			})
			done := make(chan struct{})
			request := r.request(name, "q")
			ctx, leave := contextWithCancel()
			go func() {
				r.do(request.WithContext(ctx))
				close(done)
			}()
			<-reached
			leave()
			<-gone
			<-done
		})
	}
}

func TestSilentEndpointIsGivenUp(t *testing.T) {
	r := newRig(t, func(p *peer) { p.awaitEnd() }, says(okAnswer))
	a := r.do(r.request("/fetch/x", ""))
	assert.Equal(t, 200, a.status)
	assert.Equal(t, []attempt.Outcome{attempt.TimedOut, attempt.Succeeded}, r.placer.ended())
}

// TestTimeEndsWhileARequestWaitsToGoAgain: an earlier attempt may have run, so that no answer may promise otherwise.
func TestTimeEndsWhileARequestWaitsToGoAgain(t *testing.T) {
	r := newRig(t, breaks(okHead[:20]), says(okAnswer))
	r.placer.verdicts = []placement.Decision{{Kind: placement.Picked}, {Kind: placement.Wait, Delay: time.Minute}}
	request := r.request("/fetch/x", "")
	request.Header.Set("X-Time-Left", "100")
	assert.Equal(t, 504, r.do(request).status)
	assert.Equal(t, []attempt.Outcome{attempt.Broken}, r.placer.ended())
}
