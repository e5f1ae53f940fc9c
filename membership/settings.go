package membership

import "time"

// Defaults of the intervals in Settings.
const (
	defaultChangeAnnouncementInterval = 500 * time.Millisecond
	defaultIdleAnnouncementInterval   = 10 * time.Second
	defaultReminderInterval           = 30 * time.Second
)

// Settings configures a StateMachine. An interval that is not positive is replaced by its default.
type Settings struct {
	// Name is this node's name in rosters.
	Name string

	// Snapshot is the last snapshot that a process of this node saved; zero if there is none.
	// With an outdated snapshot the node may enforce a share that is in force at other nodes.
	Snapshot Snapshot

	// ChangeAnnouncementInterval is the time between announcements to all peers while a
	// change is in progress; 500 ms by default. Announcements may be lost, so a longer
	// interval prolongs changes, and a shorter one sends more messages.
	ChangeAnnouncementInterval time.Duration

	// IdleAnnouncementInterval is the time between announcements while no change is in
	// progress; 10 s by default. It bounds how long a restarted peer takes to learn this node's state.
	IdleAnnouncementInterval time.Duration

	// ReminderInterval is the time between log events that list the nodes a change waits for;
	// 30 s by default. A change that takes less time is logged only when it completes.
	ReminderInterval time.Duration
}

// withDefaults returns the settings with the default of each missing interval.
func (s Settings) withDefaults() Settings {
	if s.ChangeAnnouncementInterval <= 0 {
		s.ChangeAnnouncementInterval = defaultChangeAnnouncementInterval
	}
	if s.IdleAnnouncementInterval <= 0 {
		s.IdleAnnouncementInterval = defaultIdleAnnouncementInterval
	}
	if s.ReminderInterval <= 0 {
		s.ReminderInterval = defaultReminderInterval
	}
	return s
}
