package intake

// headerScan follows a header as it arrives, so that its memory can be taken before it is decoded.
type headerScan struct {
	bytes int
	// lineBytes is the length of the unfinished line without carriage returns.
	lineBytes int
	ended     bool
}

const (
	// headerMemoryFactor is the memory that a header needs for each of its bytes, and
	// headerLineMemory what it needs for each line: the place in the table of fields and the list of values.
	headerMemoryFactor       = 2
	headerLineMemory   Bytes = 96
)

// resume continues a scan that took an empty line for the end of the header, because its first bytes had come
// with the request before it.
func (h *headerScan) resume() {
	if h.ended {
		h.ended, h.lineBytes = false, 1
	}
}

// add returns the memory that the next bytes of a request need, which may be more than its header.
func (h *headerScan) add(p []byte) Bytes {
	before, lines := h.bytes, 0
	for _, c := range p {
		if h.ended {
			break
		}
		h.bytes++
		switch {
		case c == '\n' && h.lineBytes == 0:
			h.ended = true
		case c == '\n':
			lines++
			h.lineBytes = 0
		case c != '\r':
			h.lineBytes++
		}
	}
	rest := len(p) - (h.bytes - before)
	return Bytes(h.bytes-before)*headerMemoryFactor + Bytes(lines)*headerLineMemory + Bytes(rest)
}
