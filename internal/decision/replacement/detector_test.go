package replacement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/decision/replacement"
)

func TestReplacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Replacement")
}

const (
	webPool = replacement.Pool("web")
	gap     = 700 * time.Millisecond
	// stay is how long a draining worker remains listed.
	stay = 6 * time.Second
)

// fleet is a pool of workers and its detector.
type fleet struct {
	now      time.Time
	workers  map[string]*replacement.Worker
	leavesAt map[string]time.Time
	detector replacement.Detector
	events   []replacement.Event
	joined   int
	started  int
}

func newFleet(size int, version replacement.Version) *fleet {
	f := &fleet{
		now: time.Date(2026, 1, 5, 4, 0, 0, 0, time.UTC), workers: map[string]*replacement.Worker{}, leavesAt: map[string]time.Time{},
	}
	for range size {
		f.join(version)
	}
	f.now = f.now.Add(time.Hour)
	f.list()
	return f
}

func (f *fleet) join(version replacement.Version) {
	id := fmt.Sprintf("w%03d", f.joined)
	f.joined++
	f.workers[id] = &replacement.Worker{ID: id, Pool: webPool, Version: version, Born: f.now}
}

// drain lets the earliest worker that isn't draining drain.
func (f *fleet) drain() {
	id := fmt.Sprintf("w%03d", f.started)
	f.started++
	f.workers[id].Draining = true
	f.leavesAt[id] = f.now.Add(stay)
}

func (f *fleet) list() {
	var list []replacement.Worker
	for i := range f.joined {
		id := fmt.Sprintf("w%03d", i)
		if at, leaves := f.leavesAt[id]; leaves && !f.now.Before(at) {
			delete(f.workers, id)
		}
		if w := f.workers[id]; w != nil {
			list = append(list, *w)
		}
	}
	f.events = append(f.events, f.detector.Observe(f.now, list)...)
}

// replace replaces a number of workers one after the other.
func (f *fleet) replace(number int, version replacement.Version) {
	for range number {
		f.join(version)
		f.list()
		f.now = f.now.Add(gap)
		f.drain()
		f.list()
	}
}

func (f *fleet) rest(d time.Duration) {
	for range int(d / gap) {
		f.now = f.now.Add(gap)
		f.list()
	}
}

// expectPreferred expects that just the workers that joined from a number on count as arriving.
func (f *fleet) expectPreferred(from int) {
	GinkgoHelper()
	Expect(f.detector.IsUnderWay(webPool)).To(BeTrue())
	for i := range f.joined {
		id := fmt.Sprintf("w%03d", i)
		if w := f.workers[id]; w != nil {
			Expect(f.detector.IsArriving(webPool, id)).To(Equal(i >= from), id)
		}
	}
}

var _ = Describe("The replacement of a pool", func() {
	for _, versions := range []struct {
		title    string
		from, to replacement.Version
	}{
		{"to another version", "v1", "v2"},
		{"under the same version", "v1", "v1"},
		{"without versions", "", ""},
	} {
		It("is detected while it is under way, "+versions.title, func() {
			f := newFleet(20, versions.from)
			f.replace(2, versions.to)
			Expect(f.detector.IsUnderWay(webPool)).To(BeFalse())
			f.replace(6, versions.to)
			f.expectPreferred(20)
			f.replace(12, versions.to)
			f.rest(stay + gap)
			Expect(f.detector.IsUnderWay(webPool)).To(BeFalse())
			Expect(f.events).To(HaveLen(2))
			Expect(f.events[0]).To(Equal(replacement.Event{Pool: webPool, From: versions.from, To: versions.to}))
			Expect(f.events[1].Ended).To(BeTrue())
			Expect(f.events[1].Took).To(BeNumerically(">", 10*gap))
		})

		It("is detected from the first list that a new owner receives, "+versions.title, func() {
			f := newFleet(20, versions.from)
			f.replace(8, versions.to)
			f.detector = replacement.Detector{}
			f.list()
			f.expectPreferred(20)
		})

		It("ends half way once no worker leaves or arrives for a while, "+versions.title, func() {
			f := newFleet(20, versions.from)
			f.replace(8, versions.to)
			f.now = f.now.Add(15 * time.Second)
			Expect(f.detector.Expire(f.now)).To(ConsistOf(HaveField("Ended", true)))
			f.list()
			Expect(f.detector.IsAnyUnderWay()).To(BeFalse())
			Expect(f.detector.IsArriving(webPool, "w025")).To(BeFalse())
		})
	}

	It("is superseded by a replacement in the opposite direction", func() {
		f := newFleet(12, "v1")
		f.replace(6, "v2")
		f.expectPreferred(12)
		f.rest(stay)
		for i := range 6 {
			id := fmt.Sprintf("w%03d", 12+i)
			f.workers[id].Draining, f.leavesAt[id] = true, f.now.Add(stay)
			f.join("v1")
			f.join("v1")
			f.now = f.now.Add(gap)
			f.list()
		}
		Expect(f.detector.IsArriving(webPool, "w020")).To(BeTrue())
		Expect(f.detector.IsArriving(webPool, "w011")).To(BeTrue())
		Expect(f.detector.IsArriving(webPool, "w017")).To(BeFalse())
	})

	It("isn't detected in a pool that only shrinks, or only grows", func() {
		f := newFleet(20, "v1")
		for range 8 {
			f.now = f.now.Add(gap)
			f.drain()
			f.list()
		}
		Expect(f.events).To(BeEmpty())
		f = newFleet(20, "v1")
		for range 8 {
			f.now = f.now.Add(gap)
			f.join("v2")
			f.list()
		}
		Expect(f.events).To(BeEmpty())
	})

	It("isn't detected in a pool whose workers crash and restart", func() {
		f := newFleet(20, "v1")
		for i := range 8 {
			f.now = f.now.Add(gap)
			delete(f.workers, fmt.Sprintf("w%03d", i))
			f.list()
			f.now = f.now.Add(gap)
			f.join("v1")
			f.list()
		}
		Expect(f.events).To(BeEmpty())
	})

	It("continues with the same arriving workers after all entries have expired for a moment", func() {
		f := newFleet(20, "v1")
		f.replace(8, "v1")
		f.expectPreferred(20)
		f.events = append(f.events, f.detector.Observe(f.now, nil)...)
		f.now = f.now.Add(2 * time.Second)
		f.list()
		f.expectPreferred(20)
		Expect(f.events).To(HaveLen(1))
	})
})
