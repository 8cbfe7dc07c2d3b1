package intake

import "bytes"

// headScanner counts the bytes and lines of a head until its end. It does not parse it.
type headScanner struct {
	bytes      int64
	lines      int64
	emptyBytes int64 // CR and LF before the first line.
	lineLength int64 // Bytes of the current line.
	last       byte  // Last byte of the current line.
	begun      bool  // A byte other than CR and LF was read.
	complete   bool
}

// scan counts the next bytes, and ignores those after the head.
func (s *headScanner) scan(p []byte) {
	for !s.begun && len(p) > 0 {
		if p[0] != '\r' && p[0] != '\n' {
			s.begun = true
			break
		}
		s.emptyBytes++
		s.bytes++
		p = p[1:]
	}
	for len(p) > 0 && !s.complete {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		s.bytes += int64(len(line))
		s.lineLength += int64(len(line))
		if len(line) > 0 {
			s.last = line[len(line)-1]
		}
		if end < 0 {
			return
		}
		s.bytes++
		s.lines++
		s.complete = s.lineLength == 0 || (s.lineLength == 1 && s.last == '\r')
		s.lineLength = 0
		p = p[end+1:]
	}
}

// cost returns the memory that the head takes once it is decoded.
func (s *headScanner) cost() int64 {
	return byteCost*s.bytes + lineCost*s.lines
}
