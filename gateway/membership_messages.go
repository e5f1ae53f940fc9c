package gateway

import (
	"encoding/binary"

	"yardcleat.example/yardcleat/membership"
)

// An announcement is encoded as one byte each for the message type, the phase and the stage, followed
// by the epoch in 8 bytes, big-endian. Peers of other versions use the same format.
const (
	announcementMessageType = 'M' // first byte, which differs from that of other peer messages
	announcementSize        = 1 + 1 + 1 + 8
)

// encodeAnnouncement returns the encoded form of an announcement.
func encodeAnnouncement(a membership.Announcement) []byte {
	b := make([]byte, 0, announcementSize)
	b = append(b, announcementMessageType, byte(a.Phase), byte(a.Stage))
	return binary.BigEndian.AppendUint64(b, a.Epoch)
}

// decodeAnnouncement decodes a message that begins with announcementMessageType. It returns false
// for a malformed message, or one with a phase or stage of a later version.
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
