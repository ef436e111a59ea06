package crlengine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cranberrylock/cranberrylock/crlid"
)

// encodeFrame returns the event of frame n of an answer whose last frame has the given number.
func encodeFrame(n, last int) string {
	finish := "null"
	if n == last {
		finish = `"stop"`
	}
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d \"},\"finish_reason\":%s}]}\n\n", n, n, finish)
}

// readFrames returns the numbers of the frames read from body, whether the last frame was among them, and the error that
// ended the frames, if any.
func readFrames(body string, after crlid.Frame) (numbers []int, complete bool, failure error) {
	for f, err := range frames(strings.NewReader(body), Attempt{Server: "engine-1", After: after}) {
		if err != nil {
			return numbers, false, err
		}
		numbers = append(numbers, int(f.Number))
		if f.Last {
			complete = true
		}
	}
	return numbers, complete, nil
}

// TestFramesArriveOnceInOrderOrNotAtAll reads answers with repeated, reordered and missing frames that end anywhere.
func TestFramesArriveOnceInOrderOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.IntRange(1, 8).Draw(t, "last")
		after := rapid.IntRange(0, last-1).Draw(t, "after")
		sent := rapid.SliceOfN(rapid.IntRange(1, last), 0, 24).Draw(t, "sent")
		var body strings.Builder
		for _, n := range sent {
			body.WriteString(encodeFrame(n, last))
		}
		numbers, complete, err := readFrames(body.String(), crlid.Frame(after))
		want, wantComplete := expectedFrames(sent, after, last)
		if fmt.Sprint(numbers) != fmt.Sprint(want) || complete != wantComplete {
			t.Fatalf("sent frames %v, read those after %d of %d: got %v complete %t, want %v complete %t",
				sent, after, last, numbers, complete, want, wantComplete)
		}
		var broken *Error
		if !complete && (!errors.As(err, &broken) || broken.Fault != FaultBroken) {
			t.Fatalf("sent frames %v: the incomplete answer ended with %v, want an Error with FaultBroken", sent, err)
		}
	})
}

// expectedFrames returns the numbers of the frames to be read after the given one, up to the first gap or the last frame,
// and whether the last frame is among them.
func expectedFrames(sent []int, after, last int) (numbers []int, complete bool) {
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
		if _, complete, err := readFrames(body, 0); complete || !errors.As(err, &broken) || broken.Fault != FaultBroken {
			t.Errorf("answer %q: complete %t, error %v, want an incomplete answer and an Error with FaultBroken", body, complete, err)
		}
	}
}
