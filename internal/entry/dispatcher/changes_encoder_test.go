package dispatcher

import (
	"bytes"
	"encoding/gob"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/platform/table"
)

var _ = Describe("Encoded changes", func() {
	change := func(key table.Key, version table.Version) table.Change {
		return table.Change{Row: table.Row{Key: key, Value: []byte("value of " + string(key)), Version: version}}
	}
	expectDecoded := func(e *changesEncoder, changes ...table.Change) {
		GinkgoHelper()
		encoded, err := e.encode(changes)
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeChanges(encoded)).To(Equal(changes))
	}

	It("are decoded as they were, also after other ones", func() {
		var e changesEncoder
		expectDecoded(&e, change("a", 3), change("b", 5))
		expectDecoded(&e, change("b", 5))
		expectDecoded(&e, change("c", 7), table.Change{Row: table.Row{Key: "a", Version: 8}, Removed: true})
		expectDecoded(&e, change("b", 5))
	})

	It("are none for an empty answer", func() {
		Expect(decodeChanges(nil)).To(BeEmpty())
	})

	// Guards against a message of a peer that takes the process down or is half applied.
	It("are rejected if they are malformed, cut off or too large", func() {
		var e changesEncoder
		_, err := decodeChanges([]byte("no gzip"))
		Expect(err).To(MatchError(ContainSubstring("decompress")))
		encoded, err := e.encode([]table.Change{change("a", 3)})
		Expect(err).NotTo(HaveOccurred())
		_, err = decodeChanges(encoded[:len(encoded)-9])
		Expect(err).To(MatchError(ContainSubstring("decompress")))
		large := table.Change{Row: table.Row{Key: "a", Value: make([]byte, maxDecodedChanges), Version: 4}}
		encoded, err = e.encode([]table.Change{large})
		Expect(err).NotTo(HaveOccurred())
		_, err = decodeChanges(encoded)
		Expect(err).To(MatchError(ContainSubstring("longer than")))
	})

	// Guards against a decoder that panics on changes that another program has encoded.
	It("are decoded or rejected, whichever byte of them differs", func() {
		var content bytes.Buffer
		Expect(gob.NewEncoder(&content).Encode([]table.Change{change("a", 3)})).To(Succeed())
		for i := range content.Len() {
			altered := bytes.Clone(content.Bytes())
			altered[i] ^= 0xff
			compressed, err := compress(altered)
			Expect(err).NotTo(HaveOccurred())
			Expect(func() { _, _ = decodeChanges(compressed) }).NotTo(Panic())
		}
	})
})
