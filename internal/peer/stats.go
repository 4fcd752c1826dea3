package peer

import (
	"expvar"

	"egretroad/internal/metrics"
)

// metricsGroup is the metrics group of this package.
const metricsGroup = "peer"

// stats counts traffic. Control bytes are those of calls, responses, one-way messages
// and pings; lane bytes are all others. Sizes include the frame header.
type stats struct {
	controlSent, controlReceived *expvar.Int // bytes
	laneSent, laneReceived       *expvar.Int // bytes
	notificationsDropped         *expvar.Int // one-way messages dropped
	notificationsResent          *expvar.Int // one-way messages sent again after their link was lost
	links                        *expvar.Int
	linksUnresponsive            *expvar.Int // links closed because their peer did not respond
	lanesOpened                  *expvar.Int // lanes opened by this proxy
}

func newStats(m *metrics.Registry) *stats {
	return &stats{
		controlSent:          m.Int(metricsGroup, "control_sent_bytes"),
		controlReceived:      m.Int(metricsGroup, "control_received_bytes"),
		laneSent:             m.Int(metricsGroup, "lane_sent_bytes"),
		laneReceived:         m.Int(metricsGroup, "lane_received_bytes"),
		notificationsDropped: m.Int(metricsGroup, "notifications_dropped"),
		notificationsResent:  m.Int(metricsGroup, "notifications_resent"),
		links:                m.Int(metricsGroup, "links"),
		linksUnresponsive:    m.Int(metricsGroup, "links_unresponsive"),
		lanesOpened:          m.Int(metricsGroup, "lanes_opened"),
	}
}

func isLaneFrame(t frameType) bool { return t >= frameLaneOpen && t <= frameLaneCredit }

func (s *stats) countSent(t frameType, n int) {
	if isLaneFrame(t) {
		s.laneSent.Add(int64(n))
		return
	}
	s.controlSent.Add(int64(n))
}

func (s *stats) countReceived(t frameType, n int) {
	if isLaneFrame(t) {
		s.laneReceived.Add(int64(n))
		return
	}
	s.controlReceived.Add(int64(n))
}
