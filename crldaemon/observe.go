package crldaemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/cranberrylock/cranberrylock/crlconfig"
	"github.com/cranberrylock/cranberrylock/crlentry"
	"github.com/cranberrylock/cranberrylock/crlid"
	"github.com/cranberrylock/cranberrylock/crljournal"
	"github.com/cranberrylock/cranberrylock/crlpeer"
	"github.com/cranberrylock/cranberrylock/crlpermit"
	"github.com/cranberrylock/cranberrylock/crlqueue"
	"github.com/cranberrylock/cranberrylock/crlreport"
)

// maxBurnKeys limits the pairs of organisation and class that the burn report counts separately.
const maxBurnKeys = 512

// methodBurn asks a peer for the burn report of its own requests. Burn is the rate at which an error budget is used, see
// package crlreport.
const methodBurn crlpeer.Method = "burn"

// burnRequest holds the parameters of methodBurn, which has none.
type burnRequest struct{}

// metrics holds the Prometheus metrics of a daemon.
type metrics struct {
	recorder      *crlreport.Recorder
	status        []prometheus.Collector // collectors that read the daemon's status at each collection
	queueAdmitted prometheus.Gauge
	queueWaiting  prometheus.Gauge
	queueWait     prometheus.Histogram
	queueShed     prometheus.Counter
	permitsOpen   prometheus.Gauge
	permitsAsked  *prometheus.CounterVec
	appends       *prometheus.HistogramVec
}

func (d *Daemon) newMetrics() {
	latencies := []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
	}
	d.metrics = &metrics{
		recorder:      crlreport.NewRecorder(crlreport.TrackerConfig{MaxKeys: maxBurnKeys}),
		queueAdmitted: gauge("cranberrylock_queue_admitted", "Requests that hold a place in the queue."),
		queueWaiting:  gauge("cranberrylock_queue_waiting", "Requests that wait for a place in the queue."),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cranberrylock_queue_wait_seconds", Help: "Time until a request was admitted or refused.", Buckets: latencies,
		}),
		queueShed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrylock_queue_shed_total", Help: "Requests that the queue refused.",
		}),
		permitsOpen: gauge("cranberrylock_permits_open", "Permits that are in use."),
		permitsAsked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrylock_permits_asked_total", Help: "Permits that were asked for, by whether one was granted.",
		}, []string{"granted"}),
		appends: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cranberrylock_journal_append_seconds", Help: "Time of one append to the log.", Buckets: latencies,
		}, []string{"stream", "result"}),
	}
	d.metrics.status = d.statusMetrics()
}

// statusMetrics returns gauges that read the daemon's status whenever they are collected.
func (d *Daemon) statusMetrics() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	return []prometheus.Collector{
		gauge("cranberrylock_configuration_offset", "Log offset of the configuration in force.",
			func() float64 { return float64(d.snapshots.Load().Offset) }),
		gauge("cranberrylock_proof_age_seconds", "Time since the configuration was proved current.",
			func() float64 { return time.Since(d.snapshots.Load().ConfirmedAt).Seconds() }),
		gauge("cranberrylock_roster_term", "Term of the roster.",
			func() float64 { return float64(d.snapshots.Load().Term) }),
	}
}

// registry returns a registry of all metrics, including those of the Go runtime and the process.
func (m *metrics) registry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.MustRegister(m.recorder, m.queueAdmitted, m.queueWaiting, m.queueWait, m.queueShed, m.permitsOpen, m.permitsAsked, m.appends)
	r.MustRegister(m.status...)
	return r
}

// instrument returns the configuration with an observer, a queue and a permit client that update the metrics.
func (d *Daemon) instrument(config crlentry.ServiceConfig) crlentry.ServiceConfig {
	config.Observer = d.metrics.recorder
	config.Queue = instrumentedQueue{next: config.Queue, metrics: d.metrics}
	config.Permits = instrumentedPermits{next: config.Permits, metrics: d.metrics}
	return config
}

// instrumentedQueue counts the requests that a queue admits and refuses, and measures how long each waits for that.
type instrumentedQueue struct {
	next    crlentry.Queue
	metrics *metrics
}

// Enter calls the next queue.
func (q instrumentedQueue) Enter(ctx context.Context, request crlqueue.Request) (func(), error) {
	q.metrics.queueWaiting.Inc()
	began := time.Now()
	leave, err := q.next.Enter(ctx, request)
	q.metrics.queueWaiting.Dec()
	q.metrics.queueWait.Observe(time.Since(began).Seconds())
	if err != nil {
		var refusal *crlqueue.Refusal
		if errors.As(err, &refusal) {
			q.metrics.queueShed.Inc()
		}
		return leave, err
	}
	q.metrics.queueAdmitted.Inc()
	return func() {
		q.metrics.queueAdmitted.Dec()
		leave()
	}, nil
}

// instrumentedPermits counts the permits that are asked for, granted and in use.
type instrumentedPermits struct {
	next    crlentry.Permitter
	metrics *metrics
}

// Acquire asks the next client for a permit.
func (p instrumentedPermits) Acquire(ctx context.Context, server crlconfig.Server) (crlpermit.Permit, bool) {
	permit, ok := p.next.Acquire(ctx, server)
	if ok {
		p.metrics.permitsOpen.Inc()
		p.metrics.permitsAsked.WithLabelValues("yes").Inc()
	} else {
		p.metrics.permitsAsked.WithLabelValues("no").Inc()
	}
	return permit, ok
}

// Answered passes the identifier of the boot that a server stated in its answer to the next client.
func (p instrumentedPermits) Answered(server crlid.Server, boot crlid.Boot) {
	p.next.Answered(server, boot)
}

// Done passes the report of an ended attempt to the next client.
func (p instrumentedPermits) Done(report crlpermit.Report) {
	p.metrics.permitsOpen.Dec()
	p.next.Done(report)
}

// timedLog measures the duration of appends.
type timedLog struct {
	next    crljournal.Appender
	metrics *metrics
}

// timed returns an appender that calls log and measures each append.
func (m *metrics) timed(log crljournal.Appender) crljournal.Appender {
	return timedLog{next: log, metrics: m}
}

// Append calls the next appender.
func (l timedLog) Append(ctx context.Context, stream crlid.Stream, payload []byte) (crlid.Offset, error) {
	began := time.Now()
	offset, err := l.next.Append(ctx, stream, payload)
	result := "ok"
	if err != nil {
		result = "failed"
	}
	l.metrics.appends.WithLabelValues(string(stream), result).Observe(time.Since(began).Seconds())
	return offset, err
}

// registerBurn registers the method that serves this daemon's burn report to peers.
func (d *Daemon) registerBurn() {
	d.mux.Register(methodBurn, crlpeer.Typed(func(context.Context, burnRequest) (crlreport.Report, error) {
		return d.metrics.recorder.Report(time.Now()), nil
	}))
}

// Burn returns the sum of the burn reports of this daemon and all peers of the settings. Its Missing names the peers that
// didn't answer. It implements crladmin.BurnReporter.
func (d *Daemon) Burn(ctx context.Context) crlreport.Report {
	sum := d.metrics.recorder.Report(time.Now())
	var mu sync.Mutex // guards sum
	var calls sync.WaitGroup
	for name, address := range d.config.Settings.Peers {
		calls.Go(func() {
			report := crlreport.Report{Missing: []crlid.Daemon{name}}
			var reply crlreport.Report
			if err := d.config.Peers.Call(ctx, address, methodBurn, burnRequest{}, &reply); err == nil {
				report = reply
			}
			mu.Lock()
			defer mu.Unlock()
			sum.Merge(report)
		})
	}
	calls.Wait()
	return sum
}
