package peer

import "time"

// minThroughput is the smallest rate in bytes per second at which a link is expected to
// carry queued messages. A large message delays the response to a ping behind it.
const minThroughput = 64 << 10

// maxKeptBytes bounds the unproven messages of one link that are kept to be sent again.
const maxKeptBytes = 64 << 10

// keptMessage is an unproven message that is sent again if its link is lost.
type keptMessage struct {
	number  uint64
	payload []byte
}

// oneWay tracks which one-way messages of a link are proven to have arrived. Nothing responds
// to them, so a ping is sent behind them: its response proves the receipt of all messages
// before it. Messages are numbered from 1.
type oneWay struct {
	sent, pinged, proven uint64        // last message sent, covered by a ping, and proven
	since                time.Duration // when the first unproven message was sent
	bytes, pingedBytes   int           // size of the unproven messages, and of those covered by a ping
	kept                 []keptMessage // unproven messages to be sent again, in order
	keptBytes            int
}

// add records a message that is being sent.
func (o *oneWay) add(size int, now time.Duration) {
	if !o.unproven() {
		o.since = now
	}
	o.sent++
	o.bytes += size
}

// keep keeps the last message to be sent again, unless too many bytes are kept already.
func (o *oneWay) keep(payload []byte) {
	if o.keptBytes+len(payload) <= maxKeptBytes {
		o.kept = append(o.kept, keptMessage{o.sent, payload})
		o.keptBytes += len(payload)
	}
}

// takeKept returns the messages that are to be sent again.
func (o *oneWay) takeKept() [][]byte {
	var payloads [][]byte
	for _, m := range o.kept {
		payloads = append(payloads, m.payload)
	}
	o.kept, o.keptBytes = nil, 0
	return payloads
}

// unproven reports whether a message has been sent whose receipt is not proven.
func (o *oneWay) unproven() bool { return o.sent != o.proven }

// pingDue reports whether a message has been unproven for the given time and no ping is
// under way that would prove it.
func (o *oneWay) pingDue(now, after time.Duration) bool {
	return o.unproven() && o.pinged <= o.proven && now-o.since >= after
}

// recordPing records that a ping is being sent and returns its number.
func (o *oneWay) recordPing() uint64 {
	o.pinged, o.pingedBytes = o.sent, o.bytes
	return o.pinged
}

// recordPong processes the response to a ping with the given number; 0 if the peer does not
// return the number.
func (o *oneWay) recordPong(number uint64, now time.Duration) {
	if number == 0 {
		number = o.pinged
	}
	if number <= o.proven || number > o.sent {
		return
	}
	o.proven, o.since = number, now
	for len(o.kept) > 0 && o.kept[0].number <= number {
		o.keptBytes -= len(o.kept[0].payload)
		o.kept = o.kept[1:]
	}
	if number == o.pinged {
		o.bytes -= o.pingedBytes
		o.pingedBytes = 0
	}
}

// transferTime returns how long the unproven messages may take to arrive.
func (o *oneWay) transferTime() time.Duration {
	return time.Duration(o.bytes) * time.Second / minThroughput
}
