package table

import "fmt"

// Limits of the table service.
const (
	// MaxRows limits the keys of a read, the rows in a page of a scan, and the
	// conditions and the writes of a transaction.
	MaxRows = 10_000
	// MaxKeyBytes is the maximum length of a key or a transaction id in bytes.
	MaxKeyBytes = 1024
	// MaxValueBytes is the maximum size of a value in bytes. The largest manifest fits in it.
	MaxValueBytes = 8 << 20
	// MaxReadBytes limits the total size of the values in the response to a read, so
	// that it fits in protocol.MaxMessageBytes. A page of a scan ends before it exceeds this
	// limit.
	MaxReadBytes = 10 << 20
)

// Validate returns ErrInvalid if the transaction exceeds a limit, contains an invalid key
// or writes a row twice. It doesn't check whether the conditions hold.
func (tx Transaction) Validate() error {
	if tx.ID == "" || len(tx.ID) > MaxKeyBytes {
		return fmt.Errorf("%w: transaction id of %d bytes, want 1 to %d", ErrInvalid, len(tx.ID), MaxKeyBytes)
	}
	if len(tx.Conditions) > MaxRows || len(tx.Writes) > MaxRows {
		return fmt.Errorf("%w: %d conditions and %d writes, want at most %d of each",
			ErrInvalid, len(tx.Conditions), len(tx.Writes), MaxRows)
	}
	for _, condition := range tx.Conditions {
		if err := condition.Key.validate(); err != nil {
			return err
		}
	}
	return validateWrites(tx.Writes)
}

func validateWrites(writes []Write) error {
	seen := make(map[Key]bool, len(writes))
	for _, write := range writes {
		if err := write.Key.validate(); err != nil {
			return err
		}
		if seen[write.Key] {
			return fmt.Errorf("%w: two writes of the row %q", ErrInvalid, write.Key)
		}
		seen[write.Key] = true
		if len(write.Value) > MaxValueBytes {
			return fmt.Errorf("%w: %d bytes in the row %q, want at most %d", ErrInvalid, len(write.Value), write.Key, MaxValueBytes)
		}
	}
	return nil
}

func (k Key) validate() error {
	if k == "" || len(k) > MaxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, want 1 to %d", ErrInvalid, len(k), MaxKeyBytes)
	}
	return nil
}

func validateKeys(keys []Key) error {
	if len(keys) > MaxRows {
		return fmt.Errorf("%w: read of %d rows, want at most %d", ErrInvalid, len(keys), MaxRows)
	}
	for _, key := range keys {
		if err := key.validate(); err != nil {
			return err
		}
	}
	return nil
}
