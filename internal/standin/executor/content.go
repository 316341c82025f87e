package executor

import (
	"bytes"
	"fmt"
	"io"
)

// Content returns an answer's body of size bytes. It depends on the seed and on
// each position, so that a receiver can tell a part of another answer or a gap.
func Content(seed string, size int64) io.Reader {
	return io.LimitReader(&content{seed: seed}, size)
}

// blockBytes is the least size of a block. Larger blocks are faster to make.
const blockBytes = 512

var padding = bytes.Repeat([]byte{'.'}, blockBytes)

type content struct {
	seed   string
	number int
	block  []byte
	rest   []byte
}

// Read fills p with numbered, padded lines.
func (c *content) Read(p []byte) (int, error) {
	filled := 0
	for filled < len(p) {
		if len(c.rest) == 0 {
			c.next()
		}
		n := copy(p[filled:], c.rest)
		c.rest = c.rest[n:]
		filled += n
	}
	return filled, nil
}

func (c *content) next() {
	c.block = fmt.Appendf(c.block[:0], "%s %d ", c.seed, c.number)
	c.block = append(c.block, padding[:max(0, blockBytes-1-len(c.block))]...)
	c.block = append(c.block, '\n')
	c.rest = c.block
	c.number++
}

// VerifyContent reads body to its end and reports a deviation from Content(seed, size)
// or the error of reading.
func VerifyContent(body io.Reader, seed string, size int64) error {
	want := Content(seed, size)
	got := make([]byte, 32<<10)
	expected := make([]byte, len(got))
	var offset int64
	for {
		n, err := body.Read(got)
		m, _ := io.ReadFull(want, expected[:n])
		if m != n || !bytes.Equal(got[:n], expected[:n]) {
			return fmt.Errorf("the content for %q deviates within %d bytes after %d", seed, n, offset)
		}
		offset += int64(n)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if offset != size {
		return fmt.Errorf("the content for %q ends after %d of %d bytes", seed, offset, size)
	}
	return nil
}
