package gateway

import (
	"encoding/binary"

	"yardcleat.example/yardcleat/membership"
)

// An announcement is encoded as one byte each of mark, phase and stage, and the epoch in 8
// bytes, big-endian. Peers of other versions read the same bytes.
const (
	announcementMessageType = 'M' // first byte; the other kinds of peer messages begin differently
	announcementSize        = 1 + 1 + 1 + 8
)

// encodeAnnouncement returns the bytes of an announcement.
func encodeAnnouncement(a membership.Announcement) []byte {
	b := make([]byte, 0, announcementSize)
	b = append(b, announcementMessageType, byte(a.Phase), byte(a.Stage))
	return binary.BigEndian.AppendUint64(b, a.Epoch)
}

// decodeAnnouncement reads a message that begins with announcementMark. It reports false for
// a malformed message, or one with a phase or stage of a later version.
func decodeAnnouncement(b []byte) (a membership.Announcement, ok bool) {
	if len(b) != announcementSize {
		return a, false
	}
	a.Phase = membership.Phase(b[1])
	a.Stage = membership.Stage(b[2])
	a.Epoch = binary.BigEndian.Uint64(b[3:])
	if a.Phase > membership.Stopped || a.Stage > membership.StageComplete {
		return membership.Announcement{}, false
	}
	return a, true
}
