package exchanger

import "testing"

func BenchmarkParsePosition(b *testing.B) {
	row := []byte("\x00\x01\x00\x00\x00\x0712/3456")
	b.ReportAllocs()
	for b.Loop() {
		parsePosition(row)
	}
}
