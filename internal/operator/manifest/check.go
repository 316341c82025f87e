package manifest

import (
	"cmp"
	"fmt"
	"time"

	"github.com/jacinthtrail/jacinthtrail/internal/backend/resource"
	"github.com/jacinthtrail/jacinthtrail/internal/platform/membership"
)

// Largest counts of a manifest.
const (
	MaxZones    = 64
	MaxServices = 1000
	MaxClasses  = 10_000
	MaxTeams    = 1000
)

// MaxTeamDepth is the largest number of ancestors of a team.
const MaxTeamDepth = 16

// MaxName is the longest name in bytes.
const MaxName = 63

// Largest values of a manifest. The resources of all teams together fit in an
// int64.
const (
	MaxProcessors   resource.MilliProcessors = 1_000_000_000_000
	MaxMemory       resource.Bytes           = 1 << 53
	MaxAccelerators resource.Accelerators    = 1_000_000_000
	MaxBodySize     resource.Bytes           = 64 << 20
	// MaxResultSize leaves room for a result with its encoding in one row of the table.
	MaxResultSize    resource.Bytes = 4 << 20
	MaxServiceTime                  = Duration(time.Hour)
	MaxTaskTime                     = Duration(30 * 24 * time.Hour)
	MaxFeedTime                     = Duration(7 * 24 * time.Hour)
	MaxTaskAttempts                 = 100
	MaxWeight                       = 1_000_000
	MaxShardsPerZone                = 1024
	MaxQueue                        = 10_000_000
	MaxTasks                        = 1_000_000
	MaxRamp                         = Duration(24 * time.Hour)
)

// Check returns all findings about a manifest, in the order of its fields. A
// value of 0 that Defaults replaces is no finding.
func Check(m Manifest) Findings {
	c := checker{teams: teamsByName(m.Teams)}
	c.counts(m)
	c.zones(m.Zones)
	for i, service := range m.Services {
		c.service(service, index("Services", i))
	}
	unique(&c, "Services", m.Services, func(s Service) ServiceName { return s.Name })
	for i, class := range m.Classes {
		c.class(class, index("Classes", i))
	}
	unique(&c, "Classes", m.Classes, func(class Class) ClassName { return class.Name })
	for i, team := range m.Teams {
		c.team(team, index("Teams", i))
	}
	unique(&c, "Teams", m.Teams, func(t Team) TeamName { return t.Name })
	c.ancestry(m.Teams)
	c.limits(m.Limits)
	return c.findings
}

// checker collects findings.
type checker struct {
	teams    map[TeamName]Team
	findings Findings
}

func (c *checker) counts(m Manifest) {
	if len(m.Zones) == 0 {
		c.findings.add("Zones", "declare at least one", "no availability zone is declared")
	}
	c.count("Zones", len(m.Zones), MaxZones)
	c.count("Services", len(m.Services), MaxServices)
	c.count("Classes", len(m.Classes), MaxClasses)
	c.count("Teams", len(m.Teams), MaxTeams)
}

func (c *checker) count(place string, count, most int) {
	if count > most {
		c.findings.add(place, fmt.Sprintf("keep at most %d", most), "there are %d entries", count)
	}
}

func (c *checker) zones(zones []Zone) {
	for i, zone := range zones {
		place := index("Zones", i)
		name(c, place+".Name", zone.Name)
		name(c, place+".Region", zone.Region)
	}
	unique(c, "Zones", zones, func(z Zone) membership.Zone { return z.Name })
}

func (c *checker) service(s Service, place string) {
	name(c, place+".Name", s.Name)
	within(c, place+".Target", s.Target, 1, MaxServiceTime)
	within(c, place+".MaxDuration", s.MaxDuration, 1, MaxServiceTime)
	within(c, place+".FirstByteTimeout", s.FirstByteTimeout, 0, MaxServiceTime)
	within(c, place+".IdleTimeout", s.IdleTimeout, 0, MaxServiceTime)
	within(c, place+".MaxFeedDuration", s.MaxFeedDuration, 0, MaxFeedTime)
	within(c, place+".RetryShare", s.RetryShare, 0, 1000)
	within(c, place+".HedgePercentile", s.HedgePercentile, 0, 99)
	within(c, place+".ErrorBudget", s.ErrorBudget, 0, 1000)
	within(c, place+".MaxBody", s.MaxBody, 0, MaxBodySize)
	// Bounds that are 0 get a default that keeps the order.
	filled := s.withDefaults()
	ordered(c, place, "Target", s.Target, "MaxDuration", s.MaxDuration)
	ordered(c, place, "FirstByteTimeout", filled.FirstByteTimeout, "MaxDuration", s.MaxDuration)
	ordered(c, place, "IdleTimeout", filled.IdleTimeout, "MaxFeedDuration", filled.MaxFeedDuration)
}

func (c *checker) class(class Class, place string) {
	name(c, place+".Name", class.Name)
	c.amount(place+".Resources", class.Resources)
	if class.Resources.IsZero() {
		c.findings.add(place+".Resources", "declare what each task needs", "the tasks need nothing")
	}
	within(c, place+".ExpectedDuration", class.ExpectedDuration, 1, MaxTaskTime)
	within(c, place+".MaxAttempts", class.MaxAttempts, 0, MaxTaskAttempts)
	if _, ok := c.teams[class.Team]; !ok {
		c.findings.add(place+".Team", "declare the team or name another", "the team %q is not declared", shorten(class.Team))
		return
	}
	c.fits(class, place)
}

// fits finds a class whose tasks exceed a quota and so could never start.
func (c *checker) fits(class Class, place string) {
	team, ok := c.teams[class.Team]
	for depth := 0; ok && depth <= MaxTeamDepth; depth++ {
		if !class.Resources.FitsIn(team.Quota) {
			c.findings.add(place+".Resources", "lower them or raise the quota",
				"one task exceeds the quota of the team %q", shorten(team.Name))
			return
		}
		team, ok = c.teams[team.Parent]
	}
}

func (c *checker) team(t Team, place string) {
	name(c, place+".Name", t.Name)
	if _, ok := c.teams[t.Parent]; !ok && t.Parent != "" {
		c.findings.add(place+".Parent", "declare the team, name another or leave it empty",
			"the team %q is not declared", shorten(t.Parent))
	}
	c.amount(place+".Quota", t.Quota)
	c.amount(place+".UrgentQuota", t.UrgentQuota)
	if !t.UrgentQuota.FitsIn(t.Quota) {
		c.findings.add(place+".UrgentQuota", "lower it or raise Quota", "it exceeds Quota")
	}
	within(c, place+".Weight", t.Weight, 0, MaxWeight)
}

// ancestry finds the teams that are their own ancestors or nested too deep.
func (c *checker) ancestry(teams []Team) {
	for i, team := range teams {
		place := index("Teams", i) + ".Parent"
		switch depth, cyclic := c.depth(team); {
		case cyclic:
			c.findings.add(place, "make one team of the cycle the root, without a parent",
				"the team %q is its own ancestor", shorten(team.Name))
		case depth > MaxTeamDepth:
			c.findings.add(place, fmt.Sprintf("nest teams up to %d deep and without cycles", MaxTeamDepth),
				"the ancestors of the team %q don't end", shorten(team.Name))
		}
	}
}

// depth counts the ancestors of a team up to one more than MaxTeamDepth, and tells
// whether it is among them.
func (c *checker) depth(start Team) (depth int, cyclic bool) {
	team, ok := c.teams[start.Parent]
	for ok && depth <= MaxTeamDepth {
		if team.Name == start.Name {
			return depth, true
		}
		depth++
		team, ok = c.teams[team.Parent]
	}
	return depth, false
}

func (c *checker) limits(l Limits) {
	within(c, "Limits.ShardsPerZone", l.ShardsPerZone, 0, MaxShardsPerZone)
	within(c, "Limits.MaxQueuedJobs", l.MaxQueuedJobs, 0, MaxQueue)
	within(c, "Limits.MaxTasksPerJob", l.MaxTasksPerJob, 0, MaxTasks)
	within(c, "Limits.MaxPayload", l.MaxPayload, 0, MaxBodySize)
	within(c, "Limits.MaxResult", l.MaxResult, 0, MaxResultSize)
	within(c, "Limits.ReturnRamp", l.ReturnRamp, 0, MaxRamp)
}

func (c *checker) amount(place string, v resource.Vector) {
	within(c, place+".Processors", v.Processors, 0, MaxProcessors)
	within(c, place+".Memory", v.Memory, 0, MaxMemory)
	within(c, place+".Accelerators", v.Accelerators, 0, MaxAccelerators)
}

// name checks the syntax of a name, which is a part of table keys and paths.
func name[T ~string](c *checker, place string, value T) {
	fix := fmt.Sprintf("use 1 to %d letters, digits and dashes, a letter or digit first", MaxName)
	switch {
	case value == "":
		c.findings.add(place, fix, "the name is empty")
	case len(value) > MaxName:
		c.findings.add(place, fix, "the name has %d bytes", len(value))
	case value[0] == '-' || !wellFormed(string(value)):
		c.findings.add(place, fix, "the name %q is malformed", value)
	}
}

func wellFormed(value string) bool {
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

// unique finds names that are given again. Empty ones have a finding already.
func unique[T any, N ~string](c *checker, place string, list []T, name func(T) N) {
	first := make(map[N]int, len(list))
	for i, element := range list {
		n := name(element)
		earlier, ok := first[n]
		if ok && n != "" {
			c.findings.add(index(place, i)+".Name", "choose another", "the name %q is already that of %s", shorten(n), index(place, earlier))
			continue
		}
		first[n] = i
	}
}

func within[T cmp.Ordered](c *checker, place string, value, least, most T) {
	if value < least || value > most {
		c.findings.add(place, fmt.Sprintf("use %v to %v", show(least), show(most)), "%v is out of range", show(value))
	}
}

// ordered finds a duration that exceeds the one that bounds it.
func ordered(c *checker, place, field string, value Duration, boundField string, bound Duration) {
	if value > bound {
		c.findings.add(place+"."+field, fmt.Sprintf("lower it or raise %s", boundField),
			"%v exceeds %s, which is %v", show(value), boundField, show(bound))
	}
}

// show returns a value as a manifest has it.
func show(value any) any {
	if d, ok := value.(Duration); ok {
		return time.Duration(d)
	}
	return value
}

func teamsByName(teams []Team) map[TeamName]Team {
	byName := make(map[TeamName]Team, len(teams))
	for _, team := range teams {
		if _, ok := byName[team.Name]; !ok && team.Name != "" {
			byName[team.Name] = team
		}
	}
	return byName
}
