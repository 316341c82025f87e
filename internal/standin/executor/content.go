package executor

import (
	"bytes"
	"fmt"
	"io"
)

// Content returns a response body of size bytes. Its bytes depend on the seed and on
// their position, so that a receiver can detect a gap or a part of another response.
func Content(seed string, size int64) io.Reader {
	return io.LimitReader(&contentReader{seed: seed}, size)
}

// minBlockBytes is the minimum size of a block. Larger blocks are faster to generate.
const minBlockBytes = 512

var padding = bytes.Repeat([]byte{'.'}, minBlockBytes)

type contentReader struct {
	seed        string
	blockNumber int
	block       []byte
	unread      []byte
}

// Read fills p with numbered lines that are padded to the block size.
func (c *contentReader) Read(p []byte) (int, error) {
	filled := 0
	for filled < len(p) {
		if len(c.unread) == 0 {
			c.nextBlock()
		}
		n := copy(p[filled:], c.unread)
		c.unread = c.unread[n:]
		filled += n
	}
	return filled, nil
}

func (c *contentReader) nextBlock() {
	c.block = fmt.Appendf(c.block[:0], "%s %d ", c.seed, c.blockNumber)
	c.block = append(c.block, padding[:max(0, minBlockBytes-1-len(c.block))]...)
	c.block = append(c.block, '\n')
	c.unread = c.block
	c.blockNumber++
}

// VerifyContent reads body to its end. It returns an error if the body differs from
// Content(seed, size) or can't be read.
func VerifyContent(body io.Reader, seed string, size int64) error {
	reference := Content(seed, size)
	got := make([]byte, 32<<10)
	want := make([]byte, len(got))
	var offset int64
	for {
		n, err := body.Read(got)
		m, _ := io.ReadFull(reference, want[:n])
		if m != n || !bytes.Equal(got[:n], want[:n]) {
			return fmt.Errorf("content for seed %q differs within %d bytes after offset %d", seed, n, offset)
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
		return fmt.Errorf("content for seed %q ends after %d of %d bytes", seed, offset, size)
	}
	return nil
}
