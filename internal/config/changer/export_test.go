package changer

// UnpackChange decompresses a change made from a.
func UnpackChange(a *Document, change []byte) ([]byte, error) {
	return unpack(change, a.compressionDictionary())
}

// PackChange compresses a change; it is the inverse of UnpackChange.
func PackChange(a *Document, p []byte) ([]byte, error) {
	return pack(p, a.compressionDictionary())
}
