package rwconfsync

// InvalidRecords returns the number of records that are set aside.
func (f *Syncer) InvalidRecords() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.InvalidRecords()
}

// PlatformUp reports whether this router's last call of the platform
// succeeded. A router that is no reader keeps the result of its start.
func (f *Syncer) PlatformUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.platformLost
}
