package membership

// Snapshot is the state that outlives a process. The JSON names are those of stored files
// and must not change.
type Snapshot struct {
	Epoch          uint64 `json:"Epoch"` // of the accepted roster; 0: none was accepted
	ChangeComplete bool   `json:"Over"`  // the change to that epoch was complete
}
