package crlengine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// event writes frame n of an answer with the given length.
func encodeFrame(n, last int) string {
	finish := "null"
	if n == last {
		finish = `"stop"`
	}
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d \"},\"finish_reason\":%s}]}\n\n", n, n, finish)
}

// take returns the numbers of the frames yielded and the error at the end.
func readFrames(body string, after crlid.Frame) (numbers []int, whole bool, failure error) {
	for f, err := range frames(strings.NewReader(body), Attempt{Server: "engine-1", After: after}) {
		if err != nil {
			return numbers, false, err
		}
		numbers = append(numbers, int(f.Number))
		if f.Last {
			whole = true
		}
	}
	return numbers, whole, nil
}

// TestFramesArriveOnceInOrderOrNotAtAll sends the frames of an answer repeated, late, missing and cut.
func TestFramesArriveOnceInOrderOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.IntRange(1, 8).Draw(t, "last")
		after := rapid.IntRange(0, last-1).Draw(t, "after")
		sent := rapid.SliceOfN(rapid.IntRange(1, last), 0, 24).Draw(t, "sent")
		var body strings.Builder
		for _, n := range sent {
			body.WriteString(encodeFrame(n, last))
		}
		numbers, whole, err := readFrames(body.String(), crlid.Frame(after))
		want, wantWhole := expectedFrames(sent, after, last)
		if fmt.Sprint(numbers) != fmt.Sprint(want) || whole != wantWhole {
			t.Fatalf("sent %v after %d of %d: got %v whole %t, want %v whole %t", sent, after, last, numbers, whole, want, wantWhole)
		}
		var broken *Error
		if !whole && (!errors.As(err, &broken) || broken.Fault != FaultBroken) {
			t.Fatalf("sent %v: a broken answer ended with %v", sent, err)
		}
	})
}

// expected is the longest run of next numbers before the first gap.
func expectedFrames(sent []int, after, last int) (numbers []int, whole bool) {
	next := after + 1
	for _, n := range sent {
		if n > next {
			return numbers, false
		}
		if n < next {
			continue
		}
		numbers = append(numbers, n)
		if n == last {
			return numbers, true
		}
		next++
	}
	return numbers, false
}

func TestMalformedFramesBreakAnswer(t *testing.T) {
	for _, body := range []string{
		"", "data: [DONE]\n\n", encodeFrame(1, 3) + "data: [DONE]\n\n", encodeFrame(1, 3) + "id: x\ndata: {}\n\n",
		encodeFrame(1, 3) + "id: 2\ndata: not JSON\n\n", encodeFrame(1, 3) + encodeFrame(2, 3) + encodeFrame(3, 3)[:20],
	} {
		var broken *Error
		if _, whole, err := readFrames(body, 0); whole || !errors.As(err, &broken) || broken.Fault != FaultBroken {
			t.Errorf("%q: whole %t, %v", body, whole, err)
		}
	}
}
