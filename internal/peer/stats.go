package peer

import (
	"expvar"

	"egretroad/internal/metrics"
)

// metricsGroup is the group of this package's variables.
const metricsGroup = "peer"

// stats counts traffic. Control counts calls, replies, one-way messages and
// pings; lanes count the rest.
type stats struct {
	controlSent, controlReceived *expvar.Int // bytes
	laneSent, laneReceived       *expvar.Int // bytes
	dropped                      *expvar.Int // one-way messages
	links                        *expvar.Int
	lanes                        *expvar.Int // lanes opened by this proxy
}

func newStats(m *metrics.Registry) *stats {
	return &stats{
		controlSent:     m.Int(metricsGroup, "control_sent_bytes"),
		controlReceived: m.Int(metricsGroup, "control_received_bytes"),
		laneSent:        m.Int(metricsGroup, "lane_sent_bytes"),
		laneReceived:    m.Int(metricsGroup, "lane_received_bytes"),
		dropped:         m.Int(metricsGroup, "notifications_dropped"),
		links:           m.Int(metricsGroup, "links"),
		lanes:           m.Int(metricsGroup, "lanes_opened"),
	}
}

func isLane(t frameType) bool { return t >= frameLaneOpen && t <= frameLaneCredit }

func (s *stats) sent(t frameType, n int) {
	if isLane(t) {
		s.laneSent.Add(int64(n))
		return
	}
	s.controlSent.Add(int64(n))
}

func (s *stats) received(t frameType, n int) {
	if isLane(t) {
		s.laneReceived.Add(int64(n))
		return
	}
	s.controlReceived.Add(int64(n))
}
