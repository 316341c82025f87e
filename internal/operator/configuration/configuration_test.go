package configuration_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/jacinthtrail/jacinthtrail/internal/caller/queue"
	"github.com/jacinthtrail/jacinthtrail/internal/operator/configuration"
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Configuration")
}

// valid returns a configuration without findings.
func valid() configuration.Draft {
	return configuration.Draft{
		Version: 7,
		Queues: []configuration.Queue{
			{Name: "urgent", Host: "a.example", Prefix: "/u/", Service: "pool", MaxAttempts: 2, SlackFactor: 1.5, TargetLatency: 300 * time.Millisecond},
			{Name: "batch", Host: "a.example", Prefix: "/u/b/", Service: "pool", Priority: 2, SlackFactor: 2},
		},
		Services: []queue.Service{{Name: "pool", AdmissionCheck: true}},
		Limits:   queue.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

var _ = Describe("Check", func() {
	It("accepts a valid configuration", func() {
		d := valid()
		Expect(configuration.Check(&d)).To(BeEmpty())
	})

	It("accepts prefixes that end without a slash or have escaped characters", func() {
		d := valid()
		d.Queues[0].Prefix, d.Queues[1].Prefix = "/u", "/a b?/"
		Expect(configuration.Check(&d)).To(BeEmpty())
	})

	It("accepts limits that are left to their defaults", func() {
		d := valid()
		d.Limits = queue.Limits{}
		Expect(configuration.Check(&d)).To(BeEmpty())
	})

	DescribeTable("reports", func(change func(*configuration.Draft), section configuration.Section, index int, field configuration.Field, problem string) {
		d := valid()
		change(&d)
		findings := configuration.Check(&d)
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].Place).To(Equal(configuration.Place{Section: section, Index: index, Field: field}))
		Expect(findings[0].Problem).To(ContainSubstring(problem))
		Expect(findings[0].Fix).NotTo(BeEmpty())
	},
		Entry("a version that isn't positive", func(d *configuration.Draft) { d.Version = 0 },
			configuration.SectionRoot, 0, configuration.FieldVersion, "isn't positive"),
		Entry("a queue with a duplicate name", func(d *configuration.Draft) { d.Queues[1].Name = "urgent" },
			configuration.SectionQueues, 1, configuration.FieldName, "entry 0 has the name"),
		Entry("a queue with the same host and prefix as another one", func(d *configuration.Draft) { d.Queues[1].Prefix = "/u/" },
			configuration.SectionQueues, 1, configuration.FieldPrefix, "no request reaches this one"),
		Entry("a host that no request matches", func(d *configuration.Draft) { d.Queues[0].Host = "a.example:80" },
			configuration.SectionQueues, 0, configuration.FieldHost, "no request matches"),
		Entry("a prefix without a leading slash", func(d *configuration.Draft) { d.Queues[0].Prefix = "u/" },
			configuration.SectionQueues, 0, configuration.FieldPrefix, "doesn't begin with a slash"),
		Entry("a queue of an unknown service", func(d *configuration.Draft) { d.Queues[0].Service = "pol" },
			configuration.SectionQueues, 0, configuration.FieldService, `no service "pol"`),
		Entry("a negative priority", func(d *configuration.Draft) { d.Queues[0].Priority = -1 },
			configuration.SectionQueues, 0, configuration.FieldPriority, "negative"),
		Entry("a negative number of attempts", func(d *configuration.Draft) { d.Queues[0].MaxAttempts = -1 },
			configuration.SectionQueues, 0, configuration.FieldMaxAttempts, "negative"),
		Entry("a target that no job can meet", func(d *configuration.Draft) { d.Queues[1].SlackFactor = 0.5 },
			configuration.SectionQueues, 1, configuration.FieldTargetLatency, "every job late"),
		Entry("a service without a queue", func(d *configuration.Draft) { d.Services = append(d.Services, queue.Service{Name: "idle"}) },
			configuration.SectionServices, 1, configuration.FieldName, "get no tasks"),
		Entry("a negative limit", func(d *configuration.Draft) { d.Limits.IdleTimeout = -1 },
			configuration.SectionLimits, 0, configuration.FieldIdleTimeout, "negative"),
		Entry("a body limit that is too small for a specification", func(d *configuration.Draft) { d.Limits.BodyBytes = 1000 },
			configuration.SectionLimits, 0, configuration.FieldBodyBytes, "longest specification"),
		Entry("a header limit that is too small for a host and path", func(d *configuration.Draft) { d.Limits.HeaderBytes = 256 },
			configuration.SectionLimits, 0, configuration.FieldHeaderBytes, "too small"),
	)

	It("reports the queues of a service on standby", func() {
		d := valid()
		d.Services[0].Standby = true
		Expect(configuration.Check(&d)).To(HaveLen(2))
	})

	It("reports all findings together", func() {
		d := configuration.Draft{Version: -1, Limits: queue.Limits{BodyBytes: 1}}
		Expect(configuration.Check(&d)).To(HaveLen(3))
	})
})

var _ = Describe("Compare", func() {
	next := func() configuration.Draft {
		d := valid()
		d.Version = 8
		return d
	}

	It("finds no difference in a configuration that only has a higher version", func() {
		before, after := valid(), next()
		Expect(configuration.Compare(&before, &after)).To(BeEmpty())
	})

	It("reports that a version that isn't higher has no effect", func() {
		before, after := valid(), valid()
		changes := configuration.Compare(&before, &after)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Effect).To(ContainSubstring("ignored"))
	})

	It("lists added, changed and removed entries and limits", func() {
		before, after := valid(), next()
		after.Queues[0].TargetLatency = time.Second
		after.Queues[1].Name = "bulk"
		after.Services = append(after.Services, queue.Service{Name: "spare", Standby: true})
		after.Limits.BodyBytes = 65536
		Expect(configuration.Compare(&before, &after)).To(HaveExactElements(
			configuration.Change{Section: configuration.SectionQueues, Entry: "urgent", Field: configuration.FieldTargetLatency, Before: "300ms", After: "1s"},
			configuration.Change{Section: configuration.SectionQueues, Entry: "bulk", After: "a.example/u/b/"},
			configuration.Change{
				Section: configuration.SectionQueues, Entry: "batch", Before: "a.example/u/b/",
				Effect: "its accepted jobs go on with their earlier settings, but callers can't ask for them or cancel them any more",
			},
			configuration.Change{Section: configuration.SectionServices, Entry: "spare", After: "added"},
			configuration.Change{Section: configuration.SectionLimits, Field: configuration.FieldBodyBytes, Before: "262144", After: "65536"},
		))
	})
})
