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

// publicationAttempt is one publication of an operator with its verdict.
type publicationAttempt struct {
	base    crlid.Offset      // offset of the configuration that the publication replaces
	decided bool              // the verdict has arrived
	verdict crlconfig.Verdict // valid if decided
}

// configurationModel is the sequential model of publications: a compare-and-set register that holds the offset in force.
// It starts at 0, the offset of the cluster's first configuration.
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

// publishRepeatedly acts as operator i. In each round it publishes a file whose base is the configuration that a random daemon has
// in force, and repeats the publication with the same ID at random daemons until it gets a verdict.
func (c *testCluster) publishRepeatedly(seed uint64, i int, rounds int, record func(porcupine.Operation)) {
	random := rand.New(rand.NewPCG(seed, uint64(i)))
	client := c.client(crlfake.Node(fmt.Sprintf("operator-%d", i)))
	defer client.CloseIdleConnections()
	for n := range rounds {
		d := c.daemons[random.IntN(len(c.daemons))]
		base := d.daemon.Load().Status().Offset
		publication := crlconfig.Publication{ID: fmt.Sprintf("%d-%d", i, n), Base: base, Content: c.content}
		called := time.Now().UnixNano()
		p := publicationAttempt{base: base}
		for !p.decided {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			verdict, err := c.apply(ctx, client, d, publication)
			cancel()
			p.verdict, p.decided = verdict, err == nil
			d = c.daemons[random.IntN(len(c.daemons))]
		}
		record(porcupine.Operation{ClientId: i, Input: p, Call: called, Output: p, Return: time.Now().UnixNano()})
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// TestPublicationsAreLinearisable checks concurrent publications of several operators, with faults of the log, for
// linearisability by configurationModel.
func TestPublicationsAreLinearisable(t *testing.T) {
	const operators, rounds = 5, 8
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			cluster := newTestCluster(t, "../examples/demo.ini", 5)
			defer cluster.close()
			cluster.applyFirstConfiguration()
			var mu sync.Mutex // guards history
			var history []porcupine.Operation
			var working sync.WaitGroup
			for i := range operators {
				working.Go(func() {
					cluster.publishRepeatedly(seed, i, rounds, func(o porcupine.Operation) {
						mu.Lock()
						defer mu.Unlock()
						history = append(history, o)
					})
				})
			}
			for _, faults := range []crlfake.LogFaults{{LoseReplies: true}, {Delay: 700 * time.Millisecond}, {Outage: true}, {}} {
				time.Sleep(time.Second)
				cluster.platform.Log.SetFaults(faults)
			}
			working.Wait()
			accepted := 0
			for _, o := range history {
				if o.Input.(publicationAttempt).verdict.Decision == crlconfig.DecisionAccepted {
					accepted++
				}
			}
			if accepted == 0 || accepted == len(history) {
				t.Errorf("seed %d: %d of %d publications accepted, want some but not all, as otherwise no two conflicted", seed, accepted, len(history))
			}
			if !porcupine.CheckOperations(configurationModel, history) {
				t.Errorf("seed %d: publications aren't linearisable: %+v", seed, history)
			}
			checkModelRejectsSecondAcceptance(t, history)
		})
	}
}

// checkModelRejectsSecondAcceptance checks that the linearisability check detects a fault: it changes the verdict of one
// publication that was refused for its stale base to accepted, and the changed history must fail the check.
func checkModelRejectsSecondAcceptance(t *testing.T, history []porcupine.Operation) {
	t.Helper()
	altered := append([]porcupine.Operation(nil), history...)
	for i, o := range altered {
		p := o.Input.(publicationAttempt)
		if p.verdict.Decision != crlconfig.DecisionStaleBase {
			continue
		}
		p.verdict.Decision = crlconfig.DecisionAccepted
		altered[i].Input, altered[i].Output = p, p
		if porcupine.CheckOperations(configurationModel, altered) {
			t.Error("the check did not detect that a publication from a stale base was accepted")
		}
		return
	}
}
