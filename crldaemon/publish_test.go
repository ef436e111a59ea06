package crldaemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlfake"
	"github.com/cranberrylock/cranberrylock/crlid"
)

// publish is one publication of an operator: made from a base, with its verdict if one came.
type publicationAttempt struct {
	base    crlid.Offset
	decided bool
	verdict crlconfig.Verdict
}

// configurationModel is a register with compare-and-set whose value is the offset in force.
var configurationModel = porcupine.Model{
	Init: func() any { return crlid.Offset(0) },
	Step: func(state, _, output any) (bool, any) {
		inForce, p := state.(crlid.Offset), output.(publicationAttempt)
		switch p.verdict.Decision {
		case crlconfig.DecisionAccepted:
			return p.base == inForce, p.verdict.Offset
		case crlconfig.DecisionStaleBase:
			return p.base != inForce && p.verdict.InForce == inForce, inForce
		default:
			return false, inForce
		}
	},
}

// operate publishes from what its daemon serves and asks again under the same id until a verdict comes.
func (w *testCluster) publishRepeatedly(seed uint64, i int, rounds int, record func(porcupine.Operation)) {
	random := rand.New(rand.NewPCG(seed, uint64(i)))
	client := w.client(crlfake.Node(fmt.Sprintf("operator-%d", i)))
	defer client.CloseIdleConnections()
	for n := range rounds {
		d := w.daemons[random.IntN(len(w.daemons))]
		base := d.daemon.Load().Status().Offset
		publication := crlconfig.Publication{ID: fmt.Sprintf("%d-%d", i, n), Base: base, Content: w.content}
		called := time.Now().UnixNano()
		p := publicationAttempt{base: base}
		for !p.decided {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			verdict, err := w.apply(ctx, client, d, publication)
			cancel()
			p.verdict, p.decided = verdict, err == nil
			d = w.daemons[random.IntN(len(w.daemons))]
		}
		record(porcupine.Operation{ClientId: i, Input: p, Call: called, Output: p, Return: time.Now().UnixNano()})
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

func TestPublicationsAreLinearisable(t *testing.T) {
	const operators, rounds = 5, 8
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestCluster(t, "../examples/demo.ini", 5)
			defer w.close()
			w.applyFirstConfiguration()
			var mu sync.Mutex // mu guards history.
			var history []porcupine.Operation
			var working sync.WaitGroup
			for i := range operators {
				working.Go(func() {
					w.publishRepeatedly(seed, i, rounds, func(o porcupine.Operation) {
						mu.Lock()
						defer mu.Unlock()
						history = append(history, o)
					})
				})
			}
			for _, faults := range []crlfake.LogFaults{{LoseReplies: true}, {Delay: 700 * time.Millisecond}, {Outage: true}, {}} {
				time.Sleep(time.Second)
				w.platform.Log.SetFaults(faults)
			}
			working.Wait()
			accepted := 0
			for _, o := range history {
				if o.Input.(publicationAttempt).verdict.Decision == crlconfig.DecisionAccepted {
					accepted++
				}
			}
			if accepted == 0 || accepted == len(history) {
				t.Errorf("seed %d: %d of %d publications accepted, the race shows nothing", seed, accepted, len(history))
			}
			if !porcupine.CheckOperations(configurationModel, history) {
				t.Errorf("seed %d: publications are no register: %+v", seed, history)
			}
			checkModelRejectsSecondAcceptance(t, history)
		})
	}
}

// forget shows that the check can fail: a second publication accepted from the same base must be found.
func checkModelRejectsSecondAcceptance(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	damaged := append([]porcupine.Operation(nil), history...)
	for i, o := range damaged {
		p := o.Input.(publicationAttempt)
		if p.verdict.Decision != crlconfig.DecisionStaleBase {
			continue
		}
		p.verdict.Decision = crlconfig.DecisionAccepted
		damaged[i].Input, damaged[i].Output = p, p
		if porcupine.CheckOperations(configurationModel, damaged) {
			t.Error("a stale publication that was accepted is not found")
		}
		return
	}
}
