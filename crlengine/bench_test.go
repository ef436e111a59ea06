package crlengine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkFrames parses the server-sent events of a streamed answer.
func BenchmarkFrames(b *testing.B) {
	const tokens = 400
	var stream strings.Builder
	for n := 1; n <= tokens; n++ {
		chunk := Chunk{ID: "request", Object: "chat.completion.chunk", Model: "drafter-1", Choices: []Choice{{Delta: Delta{Content: "word "}}}}
		if n == tokens {
			stop := "stop"
			chunk.Choices[0].FinishReason = &stop
		}
		data, err := json.Marshal(chunk)
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", n, data)
	}
	b.ReportAllocs()
	for b.Loop() {
		read := 0
		for _, err := range frames(strings.NewReader(stream.String()), Attempt{}) {
			if err != nil {
				b.Fatal(err)
			}
			read++
		}
		if read != tokens {
			b.Fatalf("read %d frames, want %d", read, tokens)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
}
