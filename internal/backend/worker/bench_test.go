package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/process"
)

// taskCounts are the numbers of tasks on an empty worker, on an average worker at the
// two-year size (10 batch tasks and about 3 executors) and on a full worker.
var taskCounts = []int{0, 13, 50}

func benchAttempt(i int) TaskAttempt {
	return TaskAttempt{Task: TaskID(fmt.Sprintf("0123456789abcdef0123456789abcdef/%d", i)), Attempt: 1<<32 + 7}
}

func benchRequest(starts int) SyncRequest {
	request := SyncRequest{
		Shard: ShardID{Zone: "kzn-dbn", Index: 3}, Epoch: 17, Basis: 123456,
		Incarnation: "6d9b1c2e-5a47-4f0e-9f0c-4a5a0d6f1b11", LeaseTerm: 8 * time.Second, StartWithin: 2 * time.Second,
	}
	for i := range starts {
		request.Start = append(request.Start, StartTask{
			TaskAttempt: benchAttempt(i), Class: "rota-build", Resources: resource.Vector{Processors: 2000, Memory: 2e9},
			Payload: []byte(`{"Week":"2026-W50","Beach":"umhlanga"}`),
		})
	}
	return request
}

func benchResponse(tasks int) SyncResponse {
	response := SyncResponse{
		Epoch: 17, Counter: 123456, Incarnation: "6d9b1c2e-5a47-4f0e-9f0c-4a5a0d6f1b11",
		Capacity: resource.Vector{Processors: 16000, Memory: 60e9},
		Usage:    []UsageSample{{Age: 3 * time.Second, Period: 2 * time.Second}},
	}
	for range min(tasks, 3) {
		response.Usage[0].Executors = append(response.Usage[0].Executors, ExecutorUsage{
			Executor: "executor-kzn-dbn-17", Service: "chairdesk", Requests: 400, P99: 12 * time.Millisecond,
		})
	}
	size := resource.Vector{Processors: 2000, Memory: 2e9}
	for i := range tasks {
		response.Tasks = append(response.Tasks, TaskStatus{
			TaskAttempt: benchAttempt(i), Class: "rota-build", State: Running, Resources: size, Observed: size, Progress: 500,
		})
		response.Usage[0].Tasks = append(response.Usage[0].Tasks, TaskUsage{
			TaskAttempt: benchAttempt(i), Class: "rota-build", Observed: size, Rate: 40.5,
		})
	}
	return response
}

// BenchmarkEncode measures encoding a request with starts and a response with running
// tasks as JSON.
func BenchmarkEncode(b *testing.B) {
	for _, n := range taskCounts {
		benchEncode(b, fmt.Sprintf("request/starts=%d", n), benchRequest(n))
		benchEncode(b, fmt.Sprintf("response/tasks=%d", n), benchResponse(n))
	}
}

func benchEncode[T any](b *testing.B, name string, message T) {
	b.Run(name, func(b *testing.B) {
		size, start := 0, process.CPUTime()
		for b.Loop() {
			content, err := json.Marshal(message)
			if err != nil {
				b.Fatal(err)
			}
			size = len(content)
		}
		b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(size), "B/message")
	})
}

// BenchmarkDecode measures decoding the messages of BenchmarkEncode.
func BenchmarkDecode(b *testing.B) {
	for _, n := range taskCounts {
		benchDecode(b, fmt.Sprintf("request/starts=%d", n), benchRequest(n))
		benchDecode(b, fmt.Sprintf("response/tasks=%d", n), benchResponse(n))
	}
}

func benchDecode[T any](b *testing.B, name string, message T) {
	b.Run(name, func(b *testing.B) {
		content, err := json.Marshal(message)
		if err != nil {
			b.Fatal(err)
		}
		start := process.CPUTime()
		for b.Loop() {
			var decoded T
			if err := json.Unmarshal(content, &decoded); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
	})
}

// BenchmarkSync measures a sync over loopback. The server sends a prepared response,
// but its HTTP handling is included, so the result is an upper bound of the client's
// cost.
func BenchmarkSync(b *testing.B) {
	for _, n := range taskCounts {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			content, err := json.Marshal(benchResponse(n))
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = w.Write(content)
			}))
			defer server.Close()
			client, request := &Client{}, benchRequest(0)
			start := process.CPUTime()
			for b.Loop() {
				if _, err := client.Sync(context.Background(), server.Listener.Addr().String(), request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(process.CPUTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
}
