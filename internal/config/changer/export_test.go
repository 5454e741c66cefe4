package changer

// Unpacked is a change without its compression.
func Unpacked(a *Document, change []byte) ([]byte, error) {
	return unpack(change, a.sample())
}

// Packed is the reverse of Unpacked.
func Packed(a *Document, p []byte) ([]byte, error) {
	return pack(p, a.sample())
}
