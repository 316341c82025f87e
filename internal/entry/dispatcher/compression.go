package dispatcher

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// compress compresses a value with gzip, at the level that takes the least processor time.
func compress(value []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return buffer.Bytes(), nil
}

// decompress returns the value that compress has compressed. It fails if that has more than limit bytes.
func decompress(compressed []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	value, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if int64(len(value)) > limit {
		return nil, fmt.Errorf("the decompressed value is longer than %d bytes", limit)
	}
	return value, nil
}
