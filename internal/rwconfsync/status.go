package rwconfsync

// InvalidRecords returns the number of records whose latest revision is invalid
// and not applied.
func (f *Syncer) InvalidRecords() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.InvalidRecords()
}

// PlatformUp reports whether this router's last call of the platform succeeded.
// For a router that was never a reader this is the call at its start.
func (f *Syncer) PlatformUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.platformLost
}
