package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"kumquathitch.example/kumquathitch/standin"
)

// BenchmarkRelayEvents measures streams of events that the upstream sends as
// fast as it can, a number of them in each write. Reads may join several.
func BenchmarkRelayEvents(b *testing.B) {
	for _, perRead := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("events-per-read=%d", perRead), func(b *testing.B) {
			const events = 2000
			part := strings.Repeat("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd-1 \"}}]}\n\n", perRead)
			flood := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				controller := http.NewResponseController(w)
				for range events / perRead {
					_, _ = io.WriteString(w, part)
					_ = controller.Flush()
				}
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			})
			s := startSite(b, 5000, flood)
			defer s.close()
			body := chatBody("Plan.", events)
			for b.Loop() {
				must.NoError(b, s.chat(context.Background(), body).err)
			}
			b.ReportMetric(float64(events*b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// BenchmarkRelaySingleEvents measures events of which each is sent when the
// caller has the one before, so that none are joined. The relay's own time is
// the difference between gateway and direct; run it with -cpu 1.
func BenchmarkRelaySingleEvents(b *testing.B) {
	next := make(chan struct{})
	paced := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		for {
			select {
			case <-next:
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"abcd-1 \"}}]}\n\n")
			_ = controller.Flush()
		}
	})
	for _, name := range []string{"direct", "gateway"} {
		b.Run(name, func(b *testing.B) {
			s := startSite(b, 60_000, paced)
			defer s.close()
			direct := httptest.NewServer(paced)
			defer direct.Close()
			url := s.front.URL
			if name == "direct" {
				url = direct.URL
			}
			request, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(chatBody("Plan.", 1)))
			request.Header.Set("Authorization", "Bearer crew-a")
			go func() { next <- struct{}{} }() // The header comes with the first event.
			response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
			must.NoError(b, err)
			reader := bufio.NewReader(response.Body)
			_, _ = reader.ReadString('\n')
			_, _ = reader.ReadString('\n')
			for b.Loop() {
				next <- struct{}{}
				_, _ = reader.ReadString('\n')
				_, _ = reader.ReadString('\n')
			}
			_ = response.Body.Close()
		})
	}
}

// BenchmarkFirstToken measures the time to the first token through the gateway
// and straight from the stand-in, alternating, at 120 requests a second.
func BenchmarkFirstToken(b *testing.B) {
	back := engine(standin.EngineSettings{TokenInterval: 2 * time.Millisecond}).Handler()
	s := startSite(b, 5000, back)
	defer s.close()
	direct := httptest.NewServer(back)
	defer direct.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	times := map[string][]time.Duration{}
	var mutex sync.Mutex
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / 120)
	defer ticker.Stop()
	for i := 0; b.Loop(); i++ {
		<-ticker.C
		for name, url := range map[string]string{"direct": direct.URL, "gateway": s.front.URL} {
			running.Go(func() {
				took := firstToken(b, client, url, chatBody(fmt.Sprint(i), 5))
				mutex.Lock()
				defer mutex.Unlock()
				times[name] = append(times[name], took)
			})
		}
	}
	running.Wait()
	for name, list := range times {
		slices.Sort(list)
		b.ReportMetric(float64(list[len(list)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), name+"-p99-us")
	}
}

func firstToken(b *testing.B, client *http.Client, url, body string) time.Duration {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer crew-a")
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.ReadString('\n')
	took := time.Since(began)
	_, _ = io.Copy(io.Discard, reader)
	return took
}
