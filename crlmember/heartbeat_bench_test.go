package crlmember

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crlpeer"
)

// inlineLoop runs each task in the calling goroutine.
type inlineLoop struct{}

// Do runs the task and returns nil.
func (inlineLoop) Do(_ context.Context, task func()) error {
	task()
	return nil
}

// inProcessPeers forwards heartbeats, encoded as JSON, between the Gossips of a benchmark, and counts calls and bytes.
type inProcessPeers struct {
	byAddress map[string]*Gossip
	calls     int
	bytes     int
}

// Call decodes the heartbeat, passes it to the Gossip at the address, and returns its reply.
func (p *inProcessPeers) Call(ctx context.Context, address string, _ crlpeer.Method, params, result any) error {
	request, err := json.Marshal(params)
	if err != nil {
		return err
	}
	var in Heartbeat
	if err := json.Unmarshal(request, &in); err != nil {
		return err
	}
	out, err := p.byAddress[address].Serve(ctx, in)
	if err != nil {
		return err
	}
	reply, err := json.Marshal(out)
	if err != nil {
		return err
	}
	p.calls++
	p.bytes += len(request) + len(reply)
	return json.Unmarshal(reply, result)
}

// BenchmarkHeartbeatPeriod measures the cost per daemon of one heartbeat period, in fleets whose daemons all know each other.
func BenchmarkHeartbeatPeriod(b *testing.B) {
	for _, n := range []int{9, 45, 180, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			peers := &inProcessPeers{byAddress: make(map[string]*Gossip)}
			var gossips []*Gossip
			for i := range n {
				table := NewTable(TableConfig{Self: member(i), SuspectTimeout: 2 * time.Second, EvictAfter: time.Minute, Repeats: 12})
				for _, m := range memberList(n) {
					table.MergeUpdate(MemberState{Member: m}, epoch)
				}
				g := NewGossip(GossipConfig{
					Loop: inlineLoop{}, Peers: peers, Table: table, MaxUpdates: 6,
					Term: func() crlid.Term { return 5 }, OnTerm: func(crlid.Term) {},
					LocalConfiguration:  func() LocalConfiguration { return LocalConfiguration{Offset: 7, ConfirmedAt: time.Now()} },
					OnPeerConfiguration: func(PeerConfiguration) {},
				})
				peers.byAddress[member(i).Address] = g
				gossips = append(gossips, g)
			}
			period := func() {
				for _, g := range gossips {
					if err := g.round(b.Context()); err != nil {
						b.Fatal(err)
					}
				}
			}
			// Run until the updates of the start were each sent 12 times, so that only the steady state is measured. A digest
			// then holds one background update only.
			for range 12 * n {
				if peers.bytes = 0; len(gossips[0].config.Table.Digest(2)) < 2 {
					break
				}
				period()
			}
			peers.calls, peers.bytes = 0, 0
			for b.Loop() {
				period()
			}
			daemonPeriods := float64(b.N * n)
			// The counts are doubled, because each call takes part in two daemons' periods: its caller's and the peer's.
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/daemonPeriods/1e3, "µs/daemon-period")
			b.ReportMetric(2*float64(peers.calls)/daemonPeriods, "calls/daemon-period")
			b.ReportMetric(2*float64(peers.bytes)/daemonPeriods, "bytes/daemon-period")
		})
	}
}
