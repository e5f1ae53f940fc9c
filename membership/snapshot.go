package membership

// Snapshot is the state that persists across restarts. The JSON names are those of stored files
// and must not change.
type Snapshot struct {
	Epoch          uint64 `json:"Epoch"` // epoch of the accepted roster; 0 if none was accepted
	ChangeComplete bool   `json:"Over"`  // whether the change to that epoch was complete
}
